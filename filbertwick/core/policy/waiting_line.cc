#include "filbertwick/core/policy/waiting_line.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace filbertwick::core::policy {

WaitingLine::Rank WaitingLine::RankOf(const WaitingJob& job) {
  return {!job.begun, job.priority, job.start_by, job.job};
}

void WaitingLine::Add(const WaitingJob& job) {
  Remove(job.job);
  jobs_.emplace(job.job, job);
  order_.insert(RankOf(job));
  if (!job.begun) {
    overdue_.emplace(job.start_by, job.job);
  }
}

void WaitingLine::Remove(uint64_t job) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) {
    return;
  }
  order_.erase(RankOf(it->second));
  overdue_.erase({it->second.start_by, job});
  jobs_.erase(it);
}

std::vector<uint64_t> WaitingLine::InOrder() const {
  std::vector<uint64_t> jobs;
  jobs.reserve(order_.size());
  std::ranges::transform(order_, std::back_inserter(jobs),
                         [](const Rank& rank) { return std::get<3>(rank); });
  return jobs;
}

std::vector<uint64_t> WaitingLine::TakeOverdue(Instant now) {
  std::vector<uint64_t> jobs;
  while (!overdue_.empty() && overdue_.begin()->first <= now) {
    jobs.push_back(overdue_.begin()->second);
    Remove(jobs.back());
  }
  return jobs;
}

std::optional<uint64_t> WaitingLine::TakeLastBehind(
    const WaitingJob& newcomer) {
  if (order_.empty() || *order_.rbegin() < RankOf(newcomer)) {
    return std::nullopt;
  }
  const uint64_t last = std::get<3>(*order_.rbegin());
  if (jobs_.at(last).begun) {
    return std::nullopt;
  }
  Remove(last);
  return last;
}

Instant WaitingLine::NextOverdue() const {
  return overdue_.empty() ? Instant::max() : overdue_.begin()->first;
}

}  // namespace filbertwick::core::policy

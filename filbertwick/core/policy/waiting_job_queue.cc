#include "filbertwick/core/policy/waiting_job_queue.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace filbertwick::core::policy {

WaitingJobQueue::Rank WaitingJobQueue::RankOf(const WaitingJob& job) {
  return {!job.has_run, job.priority, job.place_by, job.job};
}

void WaitingJobQueue::Add(const WaitingJob& job) {
  Remove(job.job);
  jobs_.emplace(job.job, job);
  ranks_.insert(RankOf(job));
  if (!job.has_run) {
    by_deadline_.emplace(job.place_by, job.job);
  }
}

void WaitingJobQueue::Remove(uint64_t job) {
  const auto it = jobs_.find(job);
  if (it == jobs_.end()) {
    return;
  }
  ranks_.erase(RankOf(it->second));
  by_deadline_.erase({it->second.place_by, job});
  jobs_.erase(it);
}

std::vector<uint64_t> WaitingJobQueue::InPlacementOrder() const {
  std::vector<uint64_t> jobs;
  jobs.reserve(ranks_.size());
  std::ranges::transform(ranks_, std::back_inserter(jobs),
                         [](const Rank& rank) { return std::get<3>(rank); });
  return jobs;
}

std::vector<uint64_t> WaitingJobQueue::TakeExpired(Instant now) {
  std::vector<uint64_t> jobs;
  while (!by_deadline_.empty() && by_deadline_.begin()->first <= now) {
    jobs.push_back(by_deadline_.begin()->second);
    Remove(jobs.back());
  }
  return jobs;
}

std::optional<uint64_t> WaitingJobQueue::EvictForNewcomer(
    const WaitingJob& newcomer) {
  if (ranks_.empty() || *ranks_.rbegin() < RankOf(newcomer)) {
    return std::nullopt;
  }
  const uint64_t last = std::get<3>(*ranks_.rbegin());
  if (jobs_.at(last).has_run) {
    return std::nullopt;
  }
  Remove(last);
  return last;
}

Instant WaitingJobQueue::NextExpiry() const {
  return by_deadline_.empty() ? Instant::max() : by_deadline_.begin()->first;
}

}  // namespace filbertwick::core::policy

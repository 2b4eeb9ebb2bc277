#include "soak/observer.h"

#include <fmt/format.h>

#include <utility>

namespace filbertwick::soak {
namespace {

/// Id of the job that a task belongs to: the part before the first dot.
std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

}  // namespace

void Observer::OnSubmitted(const std::string& job, uint32_t tasks) {
  jobs_[job].tasks = tasks;
  ++counts_.jobs;
}

void Observer::OnRefused(const std::string& job) {
  Job& it = jobs_[job];
  it.refused = true;
  ++counts_.refused;
  for (const auto& [task, upstreams] : running_) {
    if (JobOf(task) == job && !upstreams.empty()) {
      Report("refused",
             fmt::format("{} runs although its job was refused", task));
    }
  }
  if (!it.done.empty()) {
    Report("refused",
           fmt::format("{} was refused although some of its tasks ran", job));
  }
}

void Observer::OnCompleted(const std::string& job) {
  const Job& it = jobs_[job];
  ++counts_.completed;
  if (it.done.size() < it.tasks) {
    Report("complete", fmt::format("{} completed with {} of {} tasks done", job,
                                   it.done.size(), it.tasks));
  }
}

void Observer::OnStarted(const std::string& upstream,
                         const std::string& task,
                         size_t running,
                         size_t max_running_tasks) {
  advance_hook_();
  ++starts_;
  const auto it = jobs_.find(JobOf(task));
  if (it == jobs_.end()) {
    Report("unasked", fmt::format("{} starts at {} without a submitted job",
                                  task, upstream));
  } else if (it->second.refused) {
    Report("refused",
           fmt::format("{} starts at {} after refusal", task, upstream));
  }
  auto& running_at = running_[task];
  if (!running_at.empty()) {
    Report("twice", fmt::format("{} starts at {} while it runs at {}", task,
                                upstream, *running_at.begin()));
  }
  running_at.insert(upstream);
  if (running >= max_running_tasks) {
    Report("limit", fmt::format("{} starts at {} beside {} others, limit is {}",
                                task, upstream, running, max_running_tasks));
  }
}

void Observer::OnEnded(const std::string& upstream,
                       const std::string& task,
                       bool done) {
  auto& running_at = running_[task];
  if (const auto it = running_at.find(upstream); it != running_at.end()) {
    running_at.erase(it);
  }
  if (done) {
    jobs_[JobOf(task)].done.insert(task);
  }
}

void Observer::OnUpstreamGone(const std::string& upstream) {
  for (auto& [task, running_at] : running_) {
    running_at.erase(upstream);
  }
}

void Observer::Report(std::string_view guarantee, std::string text) {
  violations_.push_back({MonotonicClock::now() - start_time_,
                         std::string(guarantee), std::move(text)});
}

}  // namespace filbertwick::soak

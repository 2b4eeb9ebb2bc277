#include <fmt/format.h>

#include "filbertwick/core/direct/direct_entry_impl.h"
#include "filbertwick/core/direct/names.h"

namespace filbertwick::core::direct {
namespace {

/// Most sidecars that one log line or decision names; bounds the line, and the
/// history of a job of many tasks.
constexpr size_t kMaxLoggedPlaces = 32;

}  // namespace

void DirectEntry::Impl::LogAnswer(Instant now,
                                  const DirectJob& job,
                                  const AnswerJobEffect& answer) {
  if (answer.outcome != JobOutcome::kCompleted ||
      answer.age > job.spec.target) {
    LogHistory(job);
  }
  // Each event has its own log budget. One event per outcome ensures that lines
  // of completed jobs never displace the line of a failed one.
  LogLine line = LogLine(fmt::format("job_{}", ToString(answer.outcome)))
                     .Add("job", job.spec.id)
                     .Add("cause", answer.cause)
                     .Add("age_us", answer.age.count())
                     .Add("target_us", job.spec.target.count())
                     .Add("tasks_left", job.tasks_left)
                     .Add("retry_after_s", answer.retry_after.count());
  effects_.push_back(answer.outcome == JobOutcome::kCompleted
                         ? std::move(line)
                         : AddDecisionContext(now, job, std::move(line)));
}

void DirectEntry::Impl::LogHistory(const DirectJob& job) {
  if (!job.history.empty()) {
    effects_.push_back(LogLine("job_history")
                           .Add("job", job.spec.id)
                           .Add("decisions", job.history.Format()));
  }
}

LogLine DirectEntry::Impl::AddDecisionContext(Instant now,
                                              const DirectJob& job,
                                              LogLine line) const {
  int64_t usable = 0;
  int64_t avoided = 0;
  int64_t free_cpu = 0;
  int64_t largest_free_cpu = 0;
  for (const SidecarView& view : sidecars_ | std::views::values) {
    if (!IsUsable(now, view) || view.upstream.service != job.spec.service) {
      continue;
    }
    ++usable;
    avoided += view.ShouldAvoid(now, upstreams_.SlowRatioOf(view)) ? 1 : 0;
    free_cpu += std::max<int64_t>(view.free.cpu_millis, 0);
    largest_free_cpu = std::max(largest_free_cpu, view.free.cpu_millis);
  }
  return std::move(line)
      .Add("service", job.spec.service)
      .Add("places", FormatPlacedTasks(job))
      .Add("usable_upstreams", usable)
      .Add("jobs_waiting", static_cast<int64_t>(wait_queue_.size()))
      .Add("avoided_upstreams", avoided)
      .Add("confined", containment_.IsConfined(now, job.spec.queue) ? 1 : 0)
      .Add("needs_cpu_millis", job.spec.steps.front().needs.cpu_millis)
      .Add("free_cpu_millis", free_cpu)
      .Add("largest_free_cpu_millis", largest_free_cpu)
      .Add("time_limit_us", job.spec.time_limit.count())
      .Add("configuration", static_cast<int64_t>(control_.version));
}

std::string DirectEntry::Impl::FormatPlacedTasks(const DirectJob& job) {
  std::map<std::string_view, size_t> counts;
  for (const JobTask& task : job.tasks) {
    if (task.phase == TaskPhase::kPlaced) {
      ++counts[task.sidecar.value()];
    }
  }
  std::string text;
  for (const auto& [name, n] : counts | std::views::take(kMaxLoggedPlaces)) {
    text += fmt::format("{}{}:{}", text.empty() ? "" : " ", name, n);
  }
  if (counts.size() > kMaxLoggedPlaces) {
    text += fmt::format(" and {} more", counts.size() - kMaxLoggedPlaces);
  }
  return text;
}

void DirectEntry::Impl::LogPlacement(
    Instant now,
    DirectJob& job,
    size_t tasks,
    const std::map<InstanceName, Offer>& offers) {
  Duration oldest{0};
  for (const InstanceName& name : offers | std::views::keys) {
    oldest = std::max(oldest, now - sidecars_.at(name).last_heard);
  }
  const std::string places = FormatPlacedTasks(job);
  job.history.Add(now - job.arrived,
                  fmt::format("placed {} tasks, now {}", tasks, places));
  effects_.push_back(
      LogLine("job_placed")
          .Add("job", job.spec.id)
          .Add("tasks", static_cast<int64_t>(tasks))
          .Add("places", places)
          .Add("waited_us", (now - job.arrived).count())
          .Add("oldest_view_us", oldest.count())
          .Add("configuration", static_cast<int64_t>(control_.version)));
}

}  // namespace filbertwick::core::direct

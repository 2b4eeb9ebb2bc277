#include "filbertwick/core/direct/sidecar_view.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace filbertwick::core::direct {
namespace {

/// Weight of the newest run in the smoothed run time ratio; averages over about
/// ten runs.
constexpr double kNewestRunWeight = 0.1;
/// The same for a slow upstream, which gets few runs.
constexpr double kNewestSlowRunWeight = 0.4;
/// How long a slow upstream counts as slow without further runs.
constexpr Duration kSlowMemory = std::chrono::seconds(1);
/// Bounds of the ratio of a single run; estimates are rough.
constexpr double kMinRunTimeRatio = 0.25;
constexpr double kMaxRunTimeRatio = 8;
/// Failures in a row after which an upstream is avoided; a single failure may
/// be the task's own fault.
constexpr uint32_t kFailuresToAvoid = 2;
/// First period of avoidance; doubles with every further failure.
constexpr Duration kInitialAvoidance = std::chrono::milliseconds(250);
/// Most doublings of the period; limits it to four seconds.
constexpr uint32_t kMaxAvoidanceDoublings = 4;

}  // namespace

std::set<TaskRun> SidecarView::TakeUnfinishedRuns() {
  std::set<TaskRun> all = std::exchange(unconfirmed_runs, {});
  all.merge(std::exchange(runs, {}));
  suspect_runs.clear();
  for (const OpenOffer& open : std::exchange(offers, {}) | std::views::values) {
    for (const OfferedTask& task : open.offer.tasks) {
      if (!open.ended.contains(task.run)) {
        all.insert(task.run);
      }
    }
  }
  std::ranges::copy(stops | std::views::keys, std::inserter(all, all.end()));
  return all;
}

void SidecarView::RecordEcho(Instant now, Instant echo) {
  newest_echo = std::max(newest_echo, echo);
  unanswered.Answered(newest_echo);
  ForEachResend([&](policy::ResendTimer& resend) {
    send_due |= resend.Answered(now, newest_echo);
  });
}

bool SidecarView::IsSpeedUnknown(Instant now, double slow_ratio) const {
  return run_time_ratio > slow_ratio &&
         now - run_time_measured_at > kSlowMemory;
}

Instant SidecarView::NextTimedChange(Instant now, double slow_ratio) const {
  Instant next = now < avoid_until ? avoid_until : Instant::max();
  if (run_time_ratio > slow_ratio && !IsSpeedUnknown(now, slow_ratio)) {
    next = std::min(next, run_time_measured_at + kSlowMemory + Duration(1));
  }
  return next;
}

void RecordRunEnd(Instant now,
                  const RunEnd& end,
                  Duration estimate,
                  SidecarView& view) {
  if (end.kind == EndKind::kDone) {
    view.consecutive_failures = 0;
    view.avoid_until = Instant();
    if (estimate > Duration(0)) {
      const double ratio = std::clamp(static_cast<double>(end.duration_micros) /
                                          static_cast<double>(estimate.count()),
                                      kMinRunTimeRatio, kMaxRunTimeRatio);
      const double weight = view.run_time_ratio > view.few_runs_ratio
                                ? kNewestSlowRunWeight
                                : kNewestRunWeight;
      view.run_time_ratio += weight * (ratio - view.run_time_ratio);
      view.run_time_measured_at = now;
    }
    return;
  }
  if (end.kind == EndKind::kLost || end.kind == EndKind::kCrashed) {
    // The upstream was gone, and may be another one when it is back. One task
    // shows whether it works.
    view.avoid_until = std::max(view.avoid_until, now);
    return;
  }
  if (++view.consecutive_failures >= kFailuresToAvoid) {
    const uint32_t doublings = std::min(
        view.consecutive_failures - kFailuresToAvoid, kMaxAvoidanceDoublings);
    view.avoid_until = now + kInitialAvoidance * (1 << doublings);
  }
}

}  // namespace filbertwick::core::direct

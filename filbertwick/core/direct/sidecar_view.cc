#include "filbertwick/core/direct/sidecar_view.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace filbertwick::core::direct {
namespace {

/// Weight of the newest run in the smoothed speed: about ten runs count.
constexpr double kSmoothing = 0.1;
/// Bounds of one run's weight: estimates are rough.
constexpr double kFastest = 0.25;
constexpr double kSlowest = 8;
/// Bad ends in a row after which an upstream is avoided: single tasks fail
/// through their own fault.
constexpr uint32_t kBadEndsToSuspect = 2;
/// How long it is avoided first; doubles with every further bad end.
constexpr Duration kFirstAvoidance = std::chrono::milliseconds(250);
/// Doublings at the most: four seconds.
constexpr uint32_t kMaxDoublings = 4;

}  // namespace

std::set<TaskRun> SidecarView::TakeOpenRuns() {
  std::set<TaskRun> all = std::exchange(limbo, {});
  all.merge(std::exchange(runs, {}));
  for (const OpenOffer& open : std::exchange(offers, {}) | std::views::values) {
    std::ranges::transform(open.offer.tasks, std::inserter(all, all.end()),
                           &OfferedTask::run);
  }
  std::ranges::copy(stops | std::views::keys, std::inserter(all, all.end()));
  return all;
}

void LearnFromEnd(Instant now,
                  const RunEnd& end,
                  Duration estimate,
                  SidecarView& view) {
  if (end.kind == EndKind::kDone) {
    view.bad_ends = 0;
    view.suspect_until = Instant();
    if (estimate > Duration(0)) {
      const double ratio = std::clamp(static_cast<double>(end.took_micros) /
                                          static_cast<double>(estimate.count()),
                                      kFastest, kSlowest);
      view.slowness += kSmoothing * (ratio - view.slowness);
    }
    return;
  }
  if (++view.bad_ends >= kBadEndsToSuspect) {
    const uint32_t doublings =
        std::min(view.bad_ends - kBadEndsToSuspect, kMaxDoublings);
    view.suspect_until = now + kFirstAvoidance * (1 << doublings);
  }
}

}  // namespace filbertwick::core::direct

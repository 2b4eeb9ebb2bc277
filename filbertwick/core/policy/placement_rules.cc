#include "filbertwick/core/policy/placement_rules.h"

#include <algorithm>

namespace filbertwick::core::policy {
namespace {

/// Relative increase of the score on a fully loaded upstream. Entries that
/// place tasks at the same time collide less often on upstreams with low load.
constexpr double kLoadWeight = 0.5;
/// Relative increase of the score on an upstream outside the rack that holds
/// the task's data.
constexpr double kRemoteRackPenalty = 0.5;
/// Added to the score of suspect or avoided candidates; larger than any other
/// score, so that every other candidate that fits comes first.
constexpr double kSuspectPenalty = 1000;
/// Maximum relative increase of the score by the noise that breaks ties.
constexpr double kTieBreakNoise = 0.1;

/// Returns the used share of the candidate's CPU, memory or GPUs, whichever is
/// largest.
double Load(const PlacementCandidate& candidate) {
  const auto part = [](int64_t free, int64_t capacity) {
    return capacity > 0
               ? 1.0 - static_cast<double>(free) / static_cast<double>(capacity)
               : 0.0;
  };
  return std::max(
      {part(candidate.free.cpu_millis, candidate.capacity.cpu_millis),
       part(candidate.free.memory_mb, candidate.capacity.memory_mb),
       part(candidate.free.gpus, candidate.capacity.gpus)});
}

}  // namespace

Avoidance Avoidance::For(size_t candidates,
                         size_t suspects,
                         size_t on_probation) {
  return {suspects * 2 <= candidates, on_probation * 2 <= candidates};
}

bool HasLabel(std::span<const std::string> labels, std::string_view label) {
  return std::ranges::find(labels, label) != labels.end();
}

bool Fits(const PlacementTask& task, const PlacementCandidate& candidate) {
  return candidate.free.Covers(task.needs) &&
         candidate.run_time_ratio <= task.max_run_time_ratio &&
         (task.required_label.empty() ||
          HasLabel(candidate.labels, task.required_label)) &&
         (task.max_tasks_per_upstream == 0 ||
          candidate.siblings < task.max_tasks_per_upstream) &&
         (task.zone == ZoneRestriction::kNone ||
          candidate.in_zone == (task.zone == ZoneRestriction::kInside));
}

double BaseScore(const PlacementCandidate& candidate) {
  return candidate.run_time_ratio * (1 + kLoadWeight * Load(candidate));
}

double Score(double base,
             const PlacementTask& task,
             const PlacementCandidate& candidate,
             bool avoided,
             double noise) {
  double score = base;
  if (!task.data_rack.empty() && !HasLabel(candidate.labels, task.data_rack)) {
    score *= 1 + kRemoteRackPenalty;
  }
  return score * (1 + kTieBreakNoise * noise) +
         (candidate.suspect || avoided ||
                  (task.is_crash_suspect && candidate.hosts_crash_suspect)
              ? kSuspectPenalty
              : 0);
}

}  // namespace filbertwick::core::policy

#include "filbertwick/core/policy/task_placement.h"

#include <algorithm>
#include <limits>

#include "filbertwick/core/policy/placement_rules.h"

namespace filbertwick::core::policy {

bool CouldTake(const PlacementTask& task, const PlacementCandidate& candidate) {
  PlacementCandidate idle = candidate;
  idle.free = candidate.capacity;
  return Fits(task, idle) && !candidate.suspect &&
         !(task.is_last_attempt && candidate.on_probation);
}

std::vector<std::optional<size_t>> PlaceTasks(
    std::span<const PlacementTask> tasks,
    std::span<const PlacementCandidate> candidates,
    uint64_t salt) {
  std::vector<PlacementCandidate> remaining(candidates.begin(),
                                            candidates.end());
  const auto count = [&](auto property) {
    return static_cast<size_t>(std::ranges::count_if(candidates, property));
  };
  const Avoidance avoidance =
      Avoidance::For(candidates.size(), count(&PlacementCandidate::suspect),
                     count(&PlacementCandidate::on_probation));
  std::vector<std::optional<size_t>> places;
  places.reserve(tasks.size());
  for (const PlacementTask& task : tasks) {
    size_t best = remaining.size();
    double best_score = std::numeric_limits<double>::infinity();
    for (size_t n = 0; n < remaining.size(); ++n) {
      if (!Fits(task, remaining[n]) || !avoidance.Allows(task, remaining[n])) {
        continue;
      }
      const double score =
          Score(BaseScore(remaining[n]), task, remaining[n],
                task.avoided_candidate == n, PlacementNoise(salt, n));
      if (score < best_score) {
        best = n;
        best_score = score;
      }
    }
    if (best == remaining.size()) {
      places.emplace_back();
      continue;
    }
    remaining[best].free -= task.needs;
    ++remaining[best].siblings;
    remaining[best].suspect |= remaining[best].on_probation;
    remaining[best].hosts_crash_suspect |= task.is_crash_suspect;
    places.emplace_back(best);
  }
  return places;
}

}  // namespace filbertwick::core::policy

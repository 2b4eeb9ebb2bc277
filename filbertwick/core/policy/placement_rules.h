#ifndef FILBERTWICK_CORE_POLICY_PLACEMENT_RULES_H_
#define FILBERTWICK_CORE_POLICY_PLACEMENT_RULES_H_

// Rules by which a single task and a single upstream are matched. PlaceTasks()
// applies them to all candidates, UpstreamIndex to those that the index leaves.

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "filbertwick/core/policy/task_placement.h"

namespace filbertwick::core::policy {

/// Which candidates get no task although they have room. When more than half
/// are suspect, or on probation, the tasks may be what fails, and the others
/// can hardly carry the load.
struct Avoidance {
  bool of_suspects = false;
  bool of_probation = false;

  friend bool operator==(const Avoidance&, const Avoidance&) = default;

  /// Derives the rule from the numbers of candidates.
  static Avoidance For(size_t candidates, size_t suspects, size_t on_probation);

  bool Allows(const PlacementTask& task,
              const PlacementCandidate& candidate) const {
    return !(of_suspects && candidate.suspect) &&
           !(of_probation && task.is_last_attempt && candidate.on_probation);
  }
};

/// Returns true when the candidate has the free resources and the properties
/// that the task requires.
bool Fits(const PlacementTask& task, const PlacementCandidate& candidate);

/// Returns true when one of `labels` is `label`.
bool HasLabel(std::span<const std::string> labels, std::string_view label);

/// Returns the expected run time on the candidate as a multiple of the
/// estimate, increased by its load. No score is lower than this.
double BaseScore(const PlacementCandidate& candidate);

/// Returns the score of a candidate with the base score `base`, increased for a
/// remote data rack, noise and failures. The lowest score is best. `avoided`
/// tells that the task has failed there. `noise` is in [0, 1).
double Score(double base,
             const PlacementTask& task,
             const PlacementCandidate& candidate,
             bool avoided,
             double noise);

/// Returns a pseudo-random number in [0, 1) that depends on both arguments
/// alone.
inline double PlacementNoise(uint64_t salt, uint64_t n) {
  uint64_t x = salt + (n + 1) * 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return static_cast<double>((x ^ (x >> 31)) >> 11) * 0x1.0p-53;
}

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_PLACEMENT_RULES_H_

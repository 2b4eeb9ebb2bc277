#ifndef FILBERTWICK_CORE_DIRECT_STEP_GRAPH_H_
#define FILBERTWICK_CORE_DIRECT_STEP_GRAPH_H_

#include <cstddef>
#include <span>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/job_request.h"

namespace filbertwick::core::direct {

/// The dependencies between the steps of a job, in the direction of execution.
/// Callers choose the number of steps and dependencies, so everything is worked
/// out once, in a time that grows with their number.
class StepGraph {
 public:
  StepGraph() = default;
  /// Every step must name earlier steps only in JobStep::after.
  static StepGraph Build(std::span<const JobStep> steps);

  /// Returns the steps that name a step in JobStep::after; a step that names it
  /// twice is there twice.
  std::span<const size_t> Dependents(size_t step) const {
    return dependents_[step];
  }
  /// Returns the expected time from the start of a step to the end of the last
  /// step that depends on it, directly or not.
  Duration PathFrom(size_t step) const { return paths_[step]; }
  /// Returns the expected time from the start of the first step to the end of
  /// the last one; 0 without steps.
  Duration CriticalPath() const;

 private:
  /// By step.
  std::vector<std::vector<size_t>> dependents_;
  /// By step; see PathFrom().
  std::vector<Duration> paths_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_STEP_GRAPH_H_

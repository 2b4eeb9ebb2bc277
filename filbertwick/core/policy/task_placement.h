#ifndef FILBERTWICK_CORE_POLICY_TASK_PLACEMENT_H_
#define FILBERTWICK_CORE_POLICY_TASK_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/core/direct/resources.h"

namespace filbertwick::core::policy {

/// An upstream that tasks may be placed on.
struct PlacementCandidate {
  direct::Resources free;
  direct::Resources capacity;
  /// Run time beside the estimate; below 1 is fast.
  double run_time_ratio = 1;
  /// It failed lately: it is used only when nothing else has room.
  bool suspect = false;
  /// It failed before and gets one task to show whether it is sound again; a
  /// hanging upstream would take all of a job's tasks, as it is always empty.
  bool on_probation = false;
  /// Kind and rack.
  std::span<const std::string> labels;
  /// Tasks of the same step that it runs already.
  size_t siblings = 0;
};

/// A task to be placed.
struct PlacementTask {
  direct::Resources needs;
  /// A label the upstream must have; empty for any.
  std::string_view required_label;
  /// The rack that holds its data; empty for any.
  std::string_view data_rack;
  /// Most tasks of the step on one upstream; 0 for any number.
  size_t max_siblings = 0;
  /// Used only when nothing else has room, as the task failed there.
  std::optional<size_t> avoided_candidate;
};

/// Where the tasks of one job go. Each task goes to the candidate where it
/// should end first; load counts beside speed, so that entries with the same
/// view do not all meet at the fastest one. Returns an index into `candidates`
/// for each task, and nothing for those that fit nowhere now. `salt` breaks
/// ties between equals differently for each job.
///
/// Answers a load near the room: a wide job next in line takes what is free at
/// once and the rest as it comes. Waiting until all of it fits would let
/// narrow jobs of other entries take every place that falls free.
std::vector<std::optional<size_t>> PlaceTasks(
    std::span<const PlacementTask> tasks,
    std::span<const PlacementCandidate> candidates,
    uint64_t salt);

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_TASK_PLACEMENT_H_

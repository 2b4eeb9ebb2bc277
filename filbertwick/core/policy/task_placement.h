#ifndef FILBERTWICK_CORE_POLICY_TASK_PLACEMENT_H_
#define FILBERTWICK_CORE_POLICY_TASK_PLACEMENT_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/core/direct/resources.h"

namespace filbertwick::core::policy {

/// Which side of a containment zone a task is placed on; see CrashContainment.
enum class ZoneRestriction : uint8_t { kNone, kInside, kOutside };

/// An upstream on which tasks may be placed.
struct PlacementCandidate {
  direct::Resources free;
  direct::Resources capacity;
  /// Measured run time divided by the estimate; below 1 is faster than
  /// estimated.
  double run_time_ratio = 1;
  /// The upstream failed recently. It gets no task, unless so many candidates
  /// are suspect that the cause is probably not theirs.
  bool suspect = false;
  /// The upstream failed before. It gets one task, whose result shows whether
  /// it works again, and counts as suspect for further tasks. Without this
  /// limit a hanging upstream would get all tasks of a job, because it is
  /// always empty.
  bool on_probation = false;
  /// Labels of the upstream, among them its kind and its rack.
  std::span<const std::string> labels;
  /// Tasks of the same step placed on this upstream.
  size_t siblings = 0;
  /// The upstream belongs to the containment zone.
  bool in_zone = false;
  /// It runs a task that may have crashed an upstream.
  bool hosts_crash_suspect = false;
};

/// A task to be placed.
struct PlacementTask {
  direct::Resources needs;
  /// Label that the upstream must have; empty allows any upstream.
  std::string_view required_label;
  /// Label of the rack that holds the task's data; empty for no preference.
  std::string_view data_rack;
  /// The task has failed before, and the job fails when this run fails too. It
  /// is not used to find out whether an upstream on probation works again,
  /// unless most are on probation.
  bool is_last_attempt = false;
  /// Candidates with a higher run time ratio are not used, because the task
  /// would end too late there.
  double max_run_time_ratio = std::numeric_limits<double>::infinity();
  /// Maximum number of tasks of the step on one upstream; 0 is unlimited.
  size_t max_tasks_per_upstream = 0;
  /// Index of the candidate on which the task failed; it is used only when no
  /// other candidate fits.
  std::optional<size_t> avoided_candidate;
  ZoneRestriction zone = ZoneRestriction::kNone;
  /// The task may have crashed an upstream; see CrashBudget. Suspects are kept
  /// apart, so that another crash tells them from each other.
  bool is_crash_suspect = false;
};

/// Returns true when the candidate could run the task once it has enough free
/// resources.
bool CouldTake(const PlacementTask& task, const PlacementCandidate& candidate);

/// Selects upstreams for tasks of one job. Each task goes to the candidate with
/// the lowest score: the expected run time, increased with the load of the
/// candidate, so that entries with the same view do not all select the fastest
/// one. Returns an index into `candidates` for each task, or nothing for a task
/// that fits nowhere now. `salt` makes the tie-breaking noise differ between
/// jobs.
///
/// A job with many tasks takes the free resources at once, and further
/// resources as they become free. If it waited until all its tasks fit, jobs
/// with few tasks at other entries would take all resources that become free.
std::vector<std::optional<size_t>> PlaceTasks(
    std::span<const PlacementTask> tasks,
    std::span<const PlacementCandidate> candidates,
    uint64_t salt);

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_TASK_PLACEMENT_H_

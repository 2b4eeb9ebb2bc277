#ifndef FILBERTWICK_CORE_DIRECT_RUN_TABLE_H_
#define FILBERTWICK_CORE_DIRECT_RUN_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/message.h"

namespace filbertwick::core::direct {

/// State of a run between its start command and its end.
enum class RunPhase : uint8_t {
  /// The start command is not answered yet.
  kStarting,
  kRunning,
  /// A stop was decided. The run may be running, may have ended, or its start
  /// may still be on the way to the upstream.
  kStopping,
};

/// A run that holds resources at the upstream.
struct ActiveRun {
  TaskRun id;
  Resources needs;
  /// Estimated run time.
  Duration estimate{0};
  /// See JobRequest::queue.
  std::string queue;
  /// The entry incarnation that asked for the run.
  Peer owner;
  RunPhase phase = RunPhase::kStarting;
  /// The upstream has confirmed that the task runs.
  bool seen_running = false;
  /// When the start command was first sent.
  Instant start_sent_at;
  /// How often it was sent.
  uint32_t start_sends = 0;
  /// Task description, kept until the upstream has answered the start.
  std::string spec;
  /// Number of the newest command for this run as long as it is not answered; 0
  /// otherwise.
  uint64_t pending_command = 0;
  /// When the pending command times out, or the next one is due.
  Instant command_due;
  /// When a stop of the run became required: its entry asked for it, was
  /// replaced by another incarnation, or its session timed out. The caller may
  /// then resend the job, so the run must end before that. Instant::max() until
  /// then, also while the sidecar stops the run on its own decision: the entry
  /// then starts the task again only after the reported end.
  Instant stop_required_since = Instant::max();
  /// When the upstream last confirmed the start or the stop. A listing
  /// requested later that does not show the run proves that the run has ended.
  Instant confirmed_at;
  /// False until the upstream has confirmed the start or, when stopping, the
  /// newest stop command.
  bool is_confirmed = false;
  /// Progress as last listed; -1 before the first listing.
  int64_t percent = -1;
  /// When `percent` last changed.
  Instant progressed_at;
};

/// The runs that hold resources at an upstream. The upstream starts every task
/// that it is told to, so this table is the only limit on its load.
class RunTable {
 public:
  using Runs = std::map<std::string, ActiveRun, std::less<>>;

  /// Sets the total resources of the upstream.
  void SetCapacity(const Resources& capacity) { capacity_ = capacity; }
  /// Adds a run and allocates its resources. No other run of the task may be in
  /// the table.
  ActiveRun& Insert(ActiveRun run);
  /// Returns the run of a task, or null.
  ActiveRun* Find(std::string_view task);
  /// Returns the run with this task and run number, or null.
  ActiveRun* FindRun(const TaskRun& run);
  /// Removes a run and frees its resources.
  void Release(const TaskRun& run);
  /// Removes and returns all runs and frees their resources.
  std::vector<ActiveRun> Clear();

  /// Returns the resources left for new tasks; negative in a dimension only
  /// after the capacity shrank.
  Resources Free() const { return capacity_ - allocated_; }
  Runs& runs() { return runs_; }
  const Runs& runs() const { return runs_; }

 private:
  Resources capacity_;
  Resources allocated_;
  /// By task name, so that a task has at most one run here at a time.
  Runs runs_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_RUN_TABLE_H_

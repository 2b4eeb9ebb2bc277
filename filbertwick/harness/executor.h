#ifndef FILBERTWICK_HARNESS_EXECUTOR_H_
#define FILBERTWICK_HARNESS_EXECUTOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "filbertwick/base/time.h"
#include "filbertwick/core/effect.h"
#include "filbertwick/core/event.h"
#include "filbertwick/harness/event_loop.h"

namespace filbertwick::harness {

/// Behaviour of a simulated executor.
enum class ExecutorMode : uint8_t {
  kNormal,
  /// Every task fails shortly after its start.
  kFails,
  /// No task ends before its timeout unless it is stopped.
  kHangs,
  /// The process is not running: it refuses all tasks.
  kDead,
};

/// Callbacks of an executor.
struct ExecutorHooks {
  /// Returns the run time of a task.
  std::function<Duration(const core::StartExecutionEffect&)> run_time;
  /// A task starts. Called before run_time, and not for a refused task.
  std::function<void(const core::StartExecutionEffect&)> started;
  /// A started task ended and no longer runs.
  std::function<void(const core::ExecutionEndedEvent&)> ended;
  /// Delivers the end or the refusal of a task to the sidecar. Not called for a
  /// task that was started before Disconnect().
  std::function<void(const core::ExecutionEndedEvent&)> report;
};

/// Simulated upstream beside a sidecar. It runs up to `slots` tasks at a time
/// in virtual time; the result of a task is derived from its payload by
/// ResultOf().
class Executor {
 public:
  Executor(EventLoop& loop, uint32_t slots, ExecutorHooks hooks)
      : loop_(loop), slots_(slots), hooks_(std::move(hooks)) {}

  /// Starts a task. Refuses it with outcome kNotRun if the executor is dead,
  /// has no free slot or already runs this attempt of the task.
  void Start(const core::StartExecutionEffect& start);
  /// Stops a running task; it ends with outcome kRan. No effect if this attempt
  /// of the task does not run.
  void Stop(const wire::TaskKey& key, uint32_t attempt);
  /// The sidecar's process is gone: the tasks that run now go on, but their
  /// ends are not reported to a sidecar any more.
  void Disconnect();
  /// Changes the behaviour. With kDead all running tasks end at once with
  /// outcome kMayHaveRun.
  void SetMode(ExecutorMode mode);

  /// Returns the result of a task with this payload.
  static std::string ResultOf(const std::string& payload) {
    return "r:" + payload;
  }
  /// Number of tasks that can run at a time; 0 when dead.
  uint32_t slots() const { return mode_ == ExecutorMode::kDead ? 0 : slots_; }
  /// Number of tasks that are running.
  size_t running() const { return running_.size(); }
  /// Current behaviour.
  ExecutorMode mode() const { return mode_; }

 private:
  using RunKey = std::pair<wire::TaskKey, uint32_t>;
  struct Run {
    /// Distinguishes this run from others of the same attempt, so that a late
    /// end of an earlier run does not end this one.
    uint64_t run_id = 0;
    std::string payload;
    /// The sidecar process that started the task is still running.
    bool connected = true;
  };

  /// Reports the task as not run.
  void ReportRefusal(const core::StartExecutionEffect& start);
  /// Ends the run with this id, unless it has ended already.
  void FinishRun(const RunKey& key, uint64_t run_id, wire::TaskOutcome outcome);
  /// Reports the end of a run to `ended`, and to the sidecar if it is still
  /// connected.
  void Report(const Run& run, const core::ExecutionEndedEvent& event);

  EventLoop& loop_;
  uint32_t slots_;
  ExecutorHooks hooks_;
  ExecutorMode mode_ = ExecutorMode::kNormal;
  uint64_t last_run_id_ = 0;
  std::map<RunKey, Run> running_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_EXECUTOR_H_

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

/// How an executor behaves.
enum class ExecutorMode : uint8_t {
  kNormal,
  /// Every task fails soon after its start.
  kFails,
  /// No task ends by itself.
  kHangs,
  /// The process is gone.
  kDead,
};

/// What an executor does with each task.
struct ExecutorHooks {
  /// Run time of a task.
  std::function<Duration(const core::StartExecutionEffect&)> run_time;
  /// A task starts; called before anything else.
  std::function<void(const core::StartExecutionEffect&)> started;
  /// A started task ended for certain.
  std::function<void(const core::ExecutionEndedEvent&)> ended;
  /// The sidecar hears of an end or a refusal.
  std::function<void(const core::ExecutionEndedEvent&)> report;
};

/// The upstream beside a sidecar: a fake that runs tasks in its slots and
/// echoes each payload as the result.
class Executor {
 public:
  Executor(EventLoop& loop, uint32_t slots, ExecutorHooks hooks)
      : loop_(loop), slots_(slots), hooks_(std::move(hooks)) {}

  /// Starts a task; refused for certain when dead or full.
  void Start(const core::StartExecutionEffect& start);
  /// Stops a running task.
  void Stop(const wire::TaskKey& key, uint32_t attempt);
  /// The sidecar is gone: nothing that runs now is reported any more.
  void Disconnect();
  /// Changes the behaviour; a dying executor loses what runs.
  void SetMode(ExecutorMode mode);

  /// The result that a payload gives.
  static std::string ResultOf(const std::string& payload) {
    return "r:" + payload;
  }
  /// Tasks it can run at a time; 0 when dead.
  uint32_t slots() const { return mode_ == ExecutorMode::kDead ? 0 : slots_; }
  /// Tasks that run now.
  size_t running() const { return running_.size(); }
  /// The present behaviour.
  ExecutorMode mode() const { return mode_; }

 private:
  using RunKey = std::pair<wire::TaskKey, uint32_t>;
  struct Run {
    uint64_t run_id = 0;
    std::string payload;
    bool connected = true;
  };

  void ReportRefusal(const core::StartExecutionEffect& start);
  void FinishRun(const RunKey& key, uint64_t run_id, wire::TaskOutcome outcome);
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

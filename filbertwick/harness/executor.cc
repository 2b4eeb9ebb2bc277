#include "filbertwick/harness/executor.h"

#include <algorithm>
#include <string>
#include <utility>

namespace filbertwick::harness {
namespace {

/// Latency of a call between a sidecar and its executor, in microseconds.
constexpr Duration kCallLatency{100};
/// Run time of a task under ExecutorMode::kFails.
constexpr Duration kFailingRunTime = std::chrono::milliseconds(2);

}  // namespace

void Executor::Start(const core::StartExecutionEffect& start) {
  const RunKey key(start.key, start.attempt);
  const bool full = running_.size() >= slots_;
  if (mode_ == ExecutorMode::kDead || full || running_.contains(key)) {
    ReportRefusal(start);
    return;
  }
  const uint64_t run_id = ++last_run_id_;
  running_[key] = {run_id, start.payload, true};
  hooks_.started(start);
  // The task ends by itself, or the executor stops it at its timeout.
  const auto end_after = [&](Duration delay, wire::TaskOutcome outcome) {
    loop_.After(delay, [this, key, run_id, outcome] {
      FinishRun(key, run_id, outcome);
    });
  };
  if (mode_ == ExecutorMode::kFails) {
    end_after(kFailingRunTime, wire::TaskOutcome::kRan);
    return;
  }
  const bool hangs = mode_ == ExecutorMode::kHangs;
  const Duration run_time = hangs ? Duration::max() : hooks_.run_time(start);
  if (run_time <= start.timeout) {
    end_after(run_time + kCallLatency, wire::TaskOutcome::kSucceeded);
  } else {
    end_after(start.timeout + kCallLatency, wire::TaskOutcome::kRan);
  }
}

void Executor::Stop(const wire::TaskKey& key, uint32_t attempt) {
  const RunKey run(key, attempt);
  const auto it = running_.find(run);
  if (it == running_.end()) {
    return;
  }
  loop_.After(kCallLatency, [this, run, run_id = it->second.run_id] {
    FinishRun(run, run_id, wire::TaskOutcome::kRan);
  });
}

void Executor::Disconnect() {
  for (auto& [key, run] : running_) {
    run.connected = false;
  }
}

void Executor::SetMode(ExecutorMode mode) {
  mode_ = mode;
  if (mode != ExecutorMode::kDead) {
    return;
  }
  const auto lost = std::exchange(running_, {});
  for (const auto& [key, run] : lost) {
    core::ExecutionEndedEvent event;
    event.key = key.first;
    event.attempt = key.second;
    event.result.outcome = wire::TaskOutcome::kMayHaveRun;
    event.result.body = "the connection to the executor broke";
    Report(run, event);
  }
}

void Executor::ReportRefusal(const core::StartExecutionEffect& start) {
  core::ExecutionEndedEvent event;
  event.key = start.key;
  event.attempt = start.attempt;
  event.result.outcome = wire::TaskOutcome::kNotRun;
  event.result.body = "refused by the executor";
  loop_.After(kCallLatency, [this, event] { hooks_.report(event); });
}

void Executor::FinishRun(const RunKey& key,
                         uint64_t run_id,
                         wire::TaskOutcome outcome) {
  const auto it = running_.find(key);
  if (it == running_.end() || it->second.run_id != run_id) {
    return;
  }
  core::ExecutionEndedEvent event;
  event.key = key.first;
  event.attempt = key.second;
  event.result.outcome = outcome;
  event.result.body = outcome == wire::TaskOutcome::kSucceeded
                          ? ResultOf(it->second.payload)
                          : "failed";
  const Run run = std::move(it->second);
  running_.erase(it);
  Report(run, event);
}

void Executor::Report(const Run& run, const core::ExecutionEndedEvent& event) {
  hooks_.ended(event);
  if (run.connected) {
    hooks_.report(event);
  }
}

}  // namespace filbertwick::harness

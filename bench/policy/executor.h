#ifndef BENCH_POLICY_EXECUTOR_H_
#define BENCH_POLICY_EXECUTOR_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "bench/policy/event_loop.h"
#include "bench/policy/workload.h"
#include "filbertwick/core/policy/dispatcher.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::bench {

/// The start or the end of one task, reported to its entry.
struct TaskReport {
  core::policy::TaskRef task;
  /// Outcome of the task; empty if it has started.
  std::optional<core::policy::PlacementOutcome> end;
  Duration run_time{0};
};

/// Simulates an executor and the queue of its sidecar. Starts tasks while slots
/// are free, queues further offers up to a limit and refuses the rest. After
/// each event it sends each affected entry one message with all task reports.
class Executor {
 public:
  /// Speed, faults and capacity of the executor.
  struct Behaviour {
    double speed = 1.0;
    bool fails = false;
    bool hangs = false;
    /// Maximum number of queued offers; unbounded behind a conventional proxy.
    size_t queue = 0;
    uint32_t slots = 0;
  };
  /// Run time and outcome of a task on a healthy upstream.
  struct Execution {
    Duration run_time{0};
    bool fails = false;
  };
  using Lookup = std::function<Execution(const core::policy::TaskRef&)>;
  using ReportCallback =
      std::function<void(uint32_t entry, std::vector<TaskReport> reports)>;

  Executor(EventLoop& loop,
           const Behaviour& behaviour,
           Lookup lookup,
           ReportCallback report);

  /// Handles offers from one entry.
  void OnOffers(uint32_t entry,
                const std::vector<core::policy::TaskRef>& tasks);
  /// Handles the withdrawal of tasks by an entry; with `stop`, running tasks
  /// are stopped as well.
  void OnWithdraw(uint32_t entry,
                  const std::vector<core::policy::TaskRef>& tasks,
                  bool stop);
  /// Takes the zone out of service or back in. While it is out, the executor
  /// returns its queue to the entries and refuses offers.
  void SetZoneOut(bool out);

  /// Breaks the executor for all later starts: with `fails` every task fails,
  /// with `hangs` no task ends.
  void Break(bool fails, bool hangs);

  /// Current load.
  wire::Load load() const;
  /// Number of tasks started.
  uint64_t starts() const { return starts_; }

 private:
  struct Offer {
    uint32_t entry = 0;
    core::policy::TaskRef task;
  };

  void Start(const Offer& offer);
  void End(const Offer& offer, Duration run_time, bool failed);
  void StartQueued();
  void QueueReport(const Offer& offer,
                   std::optional<core::policy::PlacementOutcome> end,
                   Duration run_time);
  void Flush();

  EventLoop& loop_;
  Behaviour behaviour_;
  Lookup lookup_;
  ReportCallback report_;
  std::vector<core::policy::TaskRef> running_;
  std::deque<Offer> queue_;
  std::map<uint32_t, std::vector<TaskReport>> outbox_;
  bool zone_out_ = false;
  uint64_t starts_ = 0;
};

}  // namespace filbertwick::bench

#endif  // BENCH_POLICY_EXECUTOR_H_

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

/// News of one task for its entry.
struct TaskReport {
  core::policy::TaskRef task;
  /// Nothing for a start.
  std::optional<core::policy::PlacementOutcome> end;
  Duration run_time{0};
};

/// A fake executor behind the queue of its sidecar: starts what it has slots
/// for, keeps a bounded queue, refuses the rest. Reports in one message an
/// entry after each event.
class Executor {
 public:
  /// How it serves tasks.
  struct Behaviour {
    double speed = 1.0;
    bool fails = false;
    bool hangs = false;
    /// Offers that may wait; unbounded for a usual proxy's upstream.
    size_t queue = 0;
    uint32_t slots = 0;
  };
  /// What a task would do on a sound upstream.
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

  /// Offers of one entry arrive.
  void OnOffers(uint32_t entry,
                const std::vector<core::policy::TaskRef>& tasks);
  /// An entry takes tasks back; with `stop` running ones are stopped.
  void OnWithdraw(uint32_t entry,
                  const std::vector<core::policy::TaskRef>& tasks,
                  bool stop);
  /// The zone is out: gives the queue back and refuses offers, or serves
  /// again.
  void SetZoneOut(bool out);

  /// From now on it fails all it starts, or ends nothing that it starts.
  void Break(bool fails, bool hangs);

  /// The present load.
  wire::Load load() const;
  /// Tasks started.
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

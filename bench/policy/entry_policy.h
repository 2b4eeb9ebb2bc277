#ifndef BENCH_POLICY_ENTRY_POLICY_H_
#define BENCH_POLICY_ENTRY_POLICY_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bench/policy/workload.h"
#include "filbertwick/core/policy/dispatcher.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::bench {

using core::policy::JobHandle;
using core::policy::PlacementOutcome;
using core::policy::TaskRef;

/// A waiting task and the upstream chosen for it.
struct Assignment {
  TaskRef task;
  uint32_t upstream = 0;
};

/// The dispatch policy of one entry in a simulated run: admission, placement,
/// withdrawal and ejection.
class EntryPolicy {
 public:
  virtual ~EntryPolicy() = default;

  /// Returns whether sidecars accept any number of offers, as upstreams behind
  /// a conventional proxy do.
  virtual bool ignores_queue_limit() const { return false; }
  /// Admits every job by default.
  virtual core::policy::Admission Admit(const JobArrival& /*job*/,
                                        Instant /*now*/) {
    return {};
  }
  /// Adds a job and enqueues all its tasks.
  virtual void AddJob(JobHandle handle, const JobArrival& job, Instant now) = 0;
  virtual void AddTask(const TaskRef& task, Instant now) = 0;
  virtual void RemoveTask(const TaskRef& task) = 0;
  virtual void RemoveJob(JobHandle handle) = 0;
  virtual std::optional<Assignment> NextPlacement(Instant now) = 0;
  virtual Instant NextWakeup(Instant /*now*/) { return Instant::max(); }
  virtual void OnStarted(const TaskRef& /*task*/, Instant /*now*/) {}
  virtual void OnEnded(const TaskRef& task,
                       uint32_t upstream,
                       PlacementOutcome end,
                       Duration run_time,
                       Instant now) = 0;
  virtual void UpdateLoad(uint32_t /*upstream*/,
                          const wire::Load& /*load*/,
                          Instant /*now*/) {}
  virtual void SetZoneOut(uint32_t zone, bool out, Instant now) = 0;
  virtual std::vector<TaskRef> TakeWithdrawals(Instant /*now*/) { return {}; }
  virtual uint64_t TakeEjections() { return 0; }
  virtual bool IsEjected(uint32_t /*upstream*/) const { return false; }
  virtual void SetEntrySharing(uint32_t /*entries*/, uint32_t /*number*/) {}
};

/// Returns the zone of an executor; executors are assigned to zones
/// round-robin.
inline uint32_t ZoneOf(const Deployment& deployment, uint32_t executor) {
  return executor % deployment.zones;
}

/// Returns the names that --policy accepts, except `ideal`: the proxy
/// baselines, and `ours` as a whole and with one mechanism changed.
std::vector<std::string> PolicyNames();
/// Creates the policy `name` for one entry; returns null for an unknown name.
std::unique_ptr<EntryPolicy> MakeEntryPolicy(std::string_view name,
                                             const Deployment& deployment,
                                             uint32_t entry,
                                             uint64_t seed);

}  // namespace filbertwick::bench

#endif  // BENCH_POLICY_ENTRY_POLICY_H_

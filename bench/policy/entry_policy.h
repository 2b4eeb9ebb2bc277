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

/// The upstream that a waiting task goes to.
struct Assignment {
  TaskRef task;
  uint32_t upstream = 0;
};

/// The decisions of one entry in a run.
class EntryPolicy {
 public:
  virtual ~EntryPolicy() = default;

  /// Sidecars take any number of offers, as behind a usual proxy.
  virtual bool ignores_queue_limit() const { return false; }
  /// Nothing refuses by default.
  virtual core::policy::Admission Admit(const JobArrival& /*job*/,
                                        Instant /*now*/) {
    return {};
  }
  /// Adds a job and lets all its tasks wait.
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

/// Zone of an executor: they are dealt to the zones in turn.
inline uint32_t ZoneOf(const Deployment& deployment, uint32_t executor) {
  return executor % deployment.zones;
}

/// Names for --policy, the baselines and ours with one mechanism changed;
/// `ideal` is not among them.
std::vector<std::string> PolicyNames();
/// The policy `name` for one entry, or null when there is none.
std::unique_ptr<EntryPolicy> MakeEntryPolicy(std::string_view name,
                                             const Deployment& deployment,
                                             uint32_t entry,
                                             uint64_t seed);

}  // namespace filbertwick::bench

#endif  // BENCH_POLICY_ENTRY_POLICY_H_

#ifndef FILBERTWICK_CORE_POLICY_DISPATCHER_H_
#define FILBERTWICK_CORE_POLICY_DISPATCHER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/bundle/bundle.h"
#include "filbertwick/core/policy/admission_control.h"
#include "filbertwick/core/policy/policy_settings.h"
#include "filbertwick/core/policy/task_ref.h"
#include "filbertwick/wire/job.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::core::policy {

/// An upstream on which tasks can be placed.
struct UpstreamInfo {
  InstanceName name;
  ServiceName service;
  ZoneName zone;
  /// One-way network latency from this entry, measured or assumed.
  Duration distance{0};
};

/// Properties of a job that determine its admission and its queue.
struct JobShape {
  ServiceName service;
  TeamName team;
  /// Number of tasks.
  uint32_t tasks = 0;
  /// Time from admission within which the job must end.
  Duration deadline{0};
};

/// Assignment of a task to an upstream.
struct Placement {
  TaskRef task;
  InstanceName upstream;
};

/// Outcome of a placed task.
enum class PlacementOutcome : uint8_t {
  kSucceeded,
  /// The task ran and failed.
  kFailed,
  /// The task has certainly not started: it was refused, withdrawn or expired.
  kNotStarted,
  /// The worker was lost, or the task did not end in time.
  kLost,
  /// The task failed because the entry that owns its job stopped it. This is
  /// evidence against the upstream only if the task ran far longer than usual.
  kStopped,
};

/// Ejection or reinstatement of an upstream.
struct EjectionChange {
  InstanceName upstream;
  /// False for a reinstatement.
  bool ejected = false;
  /// Reason in plain text.
  std::string why;
};

/// Decides which jobs are accepted and which waiting task goes to which
/// upstream. Holds no payloads, reads no clock and does no I/O. Deterministic.
///
/// The entry registers a job with AddJob() and queues its tasks with AddTask().
/// It then takes placements with NextPlacement() until there is none, and again
/// after every change and at NextWakeup(). It reports a placed task with
/// OnStarted() when the task starts, and with OnEnded() when the task has ended
/// or has certainly not started. After OnEnded() the task can be queued again.
class Dispatcher {
 public:
  /// Creates a dispatcher without services; `seed` breaks ties between
  /// upstreams.
  static std::unique_ptr<Dispatcher> Create(const PolicySettings& settings,
                                            uint64_t seed);
  ~Dispatcher();

  /// Replaces services, teams and quotas; waiting tasks stay queued.
  void SetBundle(const bundle::Bundle& bundle);
  /// Sets the number of entries that share the upstreams, and the index of this
  /// entry among them, from 0.
  void SetEntrySharing(uint32_t entry_count, uint32_t entry_index);
  /// Stops placement into a zone at once, or resumes it with slow start.
  void SetZoneOut(const ZoneName& zone, bool out, Instant now);

  /// Adds an upstream or changes its description.
  void UpsertUpstream(const UpstreamInfo& info, Instant now);
  /// Removes an upstream. Tasks placed there must still be reported with
  /// OnEnded().
  void RemoveUpstream(const InstanceName& name);
  /// Updates the load of an upstream, as reported by heartbeats and work
  /// messages; no effect when it is unknown.
  void UpdateLoad(const InstanceName& name,
                  const wire::Load& load,
                  Instant now);

  /// Decides whether a job of this shape would be accepted now.
  Admission Admit(const JobShape& shape, Instant now) const;
  /// Registers a job without waiting tasks. Each of its tasks counts against
  /// the team's quota until it has ended.
  void AddJob(JobHandle job, const JobShape& shape, Instant now);
  /// Queues a task of a registered job for placement.
  void AddTask(const TaskRef& task, Instant now);
  /// Removes a task from the queue; no effect when it does not wait.
  void RemoveTask(const TaskRef& task);
  /// Removes a job and its waiting tasks, and frees the slots of its placed
  /// tasks. Later reports of these tasks have no effect.
  void RemoveJob(JobHandle job);

  /// Takes the next placement; nothing when no task waits or no upstream can
  /// take one now.
  std::optional<Placement> NextPlacement(Instant now);
  /// Earliest time at which the passage of time alone may give NextPlacement()
  /// or TakeWithdrawals() something new to return; Instant::max() when there is
  /// none.
  Instant NextWakeup(Instant now) const;

  /// Reports that the sidecar has started a placed task.
  void OnStarted(const TaskRef& task, Instant now);
  /// Reports that a placed task has ended or was not started. `run_time` is the
  /// time that the upstream took, used for kSucceeded only.
  void OnEnded(const TaskRef& task,
               PlacementOutcome outcome,
               Duration run_time,
               Instant now);

  /// Takes one retry of a repeatable request from the service's retry budget;
  /// false when the budget is empty.
  bool TryTakeRetry(const ServiceName& service, Instant now);

  /// Returns placed tasks that have waited at their sidecars behind
  /// long-running tasks for WithdrawalSettings::min_wait, while another
  /// upstream has a free slot. The entry must withdraw them from their
  /// sidecars. Each task is returned at most once per placement.
  std::vector<TaskRef> TakeWithdrawals(Instant now);
  /// Returns the ejections and reinstatements since the last call.
  std::vector<EjectionChange> TakeEjections();
  /// True while the upstream is ejected, also during a probe.
  bool IsEjected(const InstanceName& name) const;

  /// Number of tasks that wait for placement.
  uint64_t waiting() const;
  /// Digest of the state; equal calls in equal order give equal digests.
  uint64_t StateHash() const;

 private:
  class Impl;
  explicit Dispatcher(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_DISPATCHER_H_

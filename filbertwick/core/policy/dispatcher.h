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

/// An upstream that may get work.
struct UpstreamInfo {
  InstanceName name;
  ServiceName service;
  ZoneName zone;
  /// One-way network time from this entry, as measured or assumed.
  Duration distance{0};
};

/// What admission looks at.
struct JobShape {
  ServiceName service;
  TeamName team;
  uint32_t tasks = 0;
  Duration deadline{0};
};

/// One decision: this task goes to this upstream.
struct Placement {
  TaskRef task;
  InstanceName upstream;
};

/// How a placed task came back.
enum class PlacementOutcome : uint8_t {
  kSucceeded,
  /// Ran and failed.
  kFailed,
  /// Came back certainly not started: refused, withdrawn or expired.
  kNotStarted,
  /// Its worker was lost, or it did not end in time.
  kLost,
  /// Its owner stopped it while it ran; says nothing of its worker.
  kStopped,
};

/// An upstream set aside or taken back since the last call.
struct EjectionChange {
  InstanceName upstream;
  bool ejected = false;
  std::string why;
};

/// Decides which waiting task goes to which upstream, and which jobs are taken
/// in. Holds no payload, no clock and no I/O; deterministic.
class Dispatcher {
 public:
  /// A dispatcher with no services; `seed` decides ties.
  static std::unique_ptr<Dispatcher> Create(const PolicySettings& settings,
                                            uint64_t seed);
  ~Dispatcher();

  /// Replaces services, teams and quotas; waiting tasks keep their places.
  void SetBundle(const bundle::Bundle& bundle);
  /// Says how many entries share the upstreams and which one, from 0, this is.
  void SetEntrySharing(uint32_t entry_count, uint32_t entry_index);
  /// Stops placement into a zone at once, or ramps it up again from `now`.
  void SetZoneOut(const ZoneName& zone, bool out, Instant now);

  /// Adds an upstream or changes its description.
  void UpsertUpstream(const UpstreamInfo& info, Instant now);
  /// Drops an upstream; tasks placed there are still reported by their user.
  void RemoveUpstream(const InstanceName& name);
  /// News of an upstream's load, from heartbeats and work messages.
  void UpdateLoad(const InstanceName& name,
                  const wire::Load& load,
                  Instant now);

  /// Whether a job of this shape would be taken in now.
  Admission Admit(const JobShape& shape, Instant now) const;
  /// Registers a job without waiting tasks.
  void AddJob(JobHandle job, const JobShape& shape, Instant now);
  /// Makes a task of a registered job wait for a place.
  void AddTask(const TaskRef& task, Instant now);
  /// A waiting task no longer wants a place; ignored when it does not wait.
  void RemoveTask(const TaskRef& task);
  /// Forgets a job and its waiting tasks; placed ones must have ended.
  void RemoveJob(JobHandle job);

  /// The next placement, or nothing when no task or no place is left now.
  std::optional<Placement> NextPlacement(Instant now);
  /// When NextPlacement() may give something new without any other call;
  /// Instant::max() when never.
  Instant NextWakeup(Instant now) const;

  /// The sidecar of a placed task reports its start.
  void OnStarted(const TaskRef& task, Instant now);
  /// A placed task ended or came back; `run_time` is of the upstream.
  void OnEnded(const TaskRef& task,
               PlacementOutcome end,
               Duration run_time,
               Instant now);

  /// Whether the retry budget allows one more start of a repeatable request;
  /// takes it from the budget when it does.
  bool TryTakeRetry(const ServiceName& service, Instant now);

  /// Placed, not started tasks that wait behind a straggler and would start
  /// sooner elsewhere; each is named once.
  std::vector<TaskRef> TakeWithdrawals(Instant now);
  /// Upstreams ejected or taken back since the last call.
  std::vector<EjectionChange> TakeEjections();
  /// True while an upstream is set aside.
  bool IsEjected(const InstanceName& name) const;

  /// Tasks that wait for a place.
  uint64_t waiting() const;
  /// Digest of the state.
  uint64_t StateHash() const;

 private:
  class Impl;
  explicit Dispatcher(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_DISPATCHER_H_

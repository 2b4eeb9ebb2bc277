#ifndef FILBERTWICK_CORE_DIRECT_DIRECT_ENTRY_H_
#define FILBERTWICK_CORE_DIRECT_DIRECT_ENTRY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/direct_settings.h"
#include "filbertwick/core/direct/entry_effect.h"
#include "filbertwick/core/direct/message.h"
#include "filbertwick/core/policy/overload_detector.h"

namespace filbertwick::core::direct {

/// Builds the name under which the upstream knows a task, from the task's job,
/// step and index.
using TaskNamer =
    std::function<std::string(std::string_view job, size_t step, size_t index)>;

/// Figures for the entry's readiness and metrics.
struct DirectEntryStatus {
  size_t jobs = 0;
  /// Jobs with ready tasks that are not placed yet, also when other tasks of
  /// the job are running; unlike CountWaitingJobs().
  size_t waiting_jobs = 0;
  /// Sidecars that answer in time, accept tasks and are in a zone that is in
  /// service.
  size_t usable_sidecars = 0;
  /// Jobs taken over from other entries whose outcome has not arrived there.
  size_t handed_in_jobs = 0;
};

/// Runs jobs from their arrival to the answer to the caller: places their tasks
/// on sidecars, tracks the runs, restarts failed tasks on other sidecars, and
/// refuses jobs that can't be placed in time. The session protocol is described
/// in message.h. The entry keeps no state outside this process: when it dies,
/// the sidecars stop its runs once its sessions time out. A deterministic state
/// machine: it performs no I/O and receives the time with each call. Not
/// thread-safe.
class DirectEntry {
 public:
  /// Creates an entry that knows no sidecars yet.
  static std::unique_ptr<DirectEntry>
  Create(Peer self, const DirectEntrySettings& settings, TaskNamer name_task);
  ~DirectEntry();

  /// Accepts a job. Run numbers are derived from `wall`, so that a job that the
  /// caller resends to another entry gets higher run numbers there.
  void OnJob(Instant now, WallTime wall, JobRequest job, EntryEffects& effects);
  /// The caller of `request` has disconnected. Stops the runs of its job and
  /// removes the job, unless another request waits for the same job.
  void OnCallerGone(Instant now, uint64_t request, EntryEffects& effects);
  /// Stops and answers job `id`. Returns false when this entry has no such job.
  bool Cancel(Instant now, std::string_view id, EntryEffects& effects);
  /// Handles a message from a sidecar.
  void OnMessage(Instant now,
                 const SidecarMessage& message,
                 EntryEffects& effects);
  /// Handles messages from sidecars that have arrived together. The work that
  /// grows with the numbers of sidecars and waiting jobs is done once for all
  /// of them, so that an entry that is behind catches up. `more_left` tells
  /// that more may have arrived than the host reads at once.
  void OnMessages(Instant now,
                  std::span<const SidecarMessage> messages,
                  EntryEffects& effects,
                  bool more_left = false);
  /// Handles messages from other entries that have arrived together. `wall` is
  /// used as in OnJob().
  void OnHandoverMessages(Instant now,
                          WallTime wall,
                          std::span<const HandoverMessage> messages,
                          EntryEffects& effects);
  /// Reports that a message among the effects was not sent, so that its items
  /// do not count as sent.
  void OnNotSent(Instant now,
                 const InstanceName& to,
                 const EntryMessage& message);
  void OnNotSent(Instant now,
                 const InstanceName& to,
                 const HandoverMessage& message);
  /// Records what another entry reports about itself.
  void OnEntryLoad(Instant now,
                   const Peer& entry,
                   const ZoneName& zone,
                   const EntryLoad& load);
  /// Returns what this entry reports about itself.
  EntryLoad Load(Instant now) const;
  /// Sets the load that the host measures, 0 idle to 1 saturated; 0 at first.
  /// Jobs are handed over, and none are taken, while this or what overload()
  /// measures is high.
  void SetPressure(Instant now, double pressure);
  /// From now on no job is taken over.
  void BeginStop();
  /// Adds sidecars that may exist or have restarted. Those not known yet, and
  /// those not heard lately, get a message at the next OnWakeup().
  void AddSidecars(Instant now, std::span<const InstanceName> names);
  /// Sets the availability zones in which no task may start.
  void SetZonesOut(std::set<ZoneName> zones);
  /// Sets the control stream position that messages to sidecars report.
  void SetControlPosition(const ControlPosition& position);
  /// Sets whether entries share their load, as they do when their means differ;
  /// off at first. While it is on, an overloaded entry refuses the jobs that it
  /// can't serve in time, with the cause `entry_overloaded`, and waiting tasks
  /// are announced to sidecars as claims, which sidecars serve in one order
  /// over all entries.
  void SetLoadSharing(bool on);
  /// Performs the timed work that is due at `now`.
  void OnWakeup(Instant now, EntryEffects& effects);
  /// Returns the latest time by which OnWakeup() must be called. A later call
  /// of the entry counts as a delay of this process.
  Instant NextWakeup() const;

  /// Returns the number of jobs of a service of which no sidecar has accepted a
  /// task yet.
  size_t CountWaitingJobs(std::string_view service) const;
  /// Returns how late this entry is because of itself.
  const policy::OverloadDetector& overload() const;
  /// Returns the number of upstreams, and blocks of upstreams, that placement
  /// has examined so far: a measure of the processor time that it takes.
  uint64_t CountExaminedCandidates() const;
  DirectEntryStatus Status(Instant now) const;

 private:
  class Impl;
  explicit DirectEntry(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_DIRECT_ENTRY_H_

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

namespace filbertwick::core::direct {

/// Names a task for the upstream, from its job, step and index.
using TaskNamer =
    std::function<std::string(std::string_view job, size_t step, size_t index)>;

/// What an entry shows of itself.
struct DirectEntryStatus {
  size_t jobs = 0;
  size_t waiting = 0;
  /// Sidecars heard lately whose upstream takes tasks.
  size_t usable_sidecars = 0;
};

/// Runs attended jobs from their arrival to their answer: places their tasks
/// on sidecars, follows them, starts failed tasks elsewhere, and refuses what
/// can't be in time. Keeps no record outside this process: when it dies, the
/// sidecars stop what it left behind. A deterministic state machine: no I/O,
/// time comes with each call. Not thread-safe.
class DirectEntry {
 public:
  /// An entry that knows no sidecars yet.
  static std::unique_ptr<DirectEntry>
  Create(Peer self, const DirectEntrySettings& settings, TaskNamer name_task);
  ~DirectEntry();

  /// Takes a job; `wall` gives its runs numbers above those of earlier tries
  /// at other entries.
  void OnJob(Instant now, WallTime wall, JobRequest job, EntryEffects& effects);
  /// The caller of a request has gone.
  void OnCallerGone(Instant now, uint64_t request, EntryEffects& effects);
  /// The caller of job `id` wants it stopped; false when it is not here.
  bool Cancel(Instant now, std::string_view id, EntryEffects& effects);
  /// Takes a message of a sidecar.
  void OnMessage(Instant now,
                 const SidecarMessage& message,
                 EntryEffects& effects);
  /// Sidecars there may be, by name; those unknown so far are asked.
  void AddSidecars(Instant now, std::span<const InstanceName> names);
  /// Availability zones in which nothing may start.
  void SetZonesOut(std::set<ZoneName> zones);
  /// Tells sidecars how far this process has followed the control stream.
  void SetControlPosition(const ControlPosition& position);
  /// Does what is due at `now`.
  void OnWakeup(Instant now, EntryEffects& effects);
  /// When OnWakeup() is due at the latest.
  Instant NextWakeup() const;

  /// Jobs of a service for which no task was placed yet.
  size_t CountWaitingJobs(std::string_view service) const;
  DirectEntryStatus Status(Instant now) const;

 private:
  class Impl;
  explicit DirectEntry(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_DIRECT_ENTRY_H_

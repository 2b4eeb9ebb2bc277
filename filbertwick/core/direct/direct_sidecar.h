#ifndef FILBERTWICK_CORE_DIRECT_DIRECT_SIDECAR_H_
#define FILBERTWICK_CORE_DIRECT_DIRECT_SIDECAR_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/direct_settings.h"
#include "filbertwick/core/direct/message.h"
#include "filbertwick/core/direct/sidecar_effect.h"
#include "filbertwick/core/policy/capacity_grants.h"

namespace filbertwick::core::direct {

/// Figures for the sidecar's readiness and metrics.
struct DirectSidecarStatus {
  /// New tasks are accepted.
  bool accepts_tasks = false;
  /// Runs that hold resources at the upstream.
  size_t runs = 0;
  size_t sessions = 0;
  policy::GrantFigures grants;
};

/// Callbacks of a DirectSidecar, called on its caller's thread.
struct DirectSidecarHooks {
  /// Returns true when the configuration has a route to the service.
  std::function<bool(std::string_view service)> has_route_to =
      [](std::string_view) { return true; };
};

/// Starts and stops tasks at the upstream beside it, at the request of entries.
/// Several entries may place tasks at the same time; none owns the upstream.
/// The sidecar alone holds the upstream's lease: the upstream kills all runs
/// when the lease is not renewed. Every command carries a fencing token, and
/// the upstream rejects a command with a lower token than it has seen. The
/// sidecar alone accounts for the upstream's capacity: a run that is starting,
/// running, stopping or not certainly rejected holds its resources until a
/// listing proves its end, its upstream is gone or its lease has expired. A
/// deterministic state machine: it performs no I/O and receives the time with
/// each call. Not thread-safe.
class DirectSidecar {
 public:
  /// Creates a sidecar that has no upstream yet. `first_token` must exceed the
  /// fencing tokens of earlier incarnations; if the upstream rejects it as too
  /// low, the sidecar raises it.
  static std::unique_ptr<DirectSidecar> Create(
      Peer self,
      uint64_t first_token,
      const DirectSidecarSettings& settings,
      DirectSidecarHooks hooks = {});
  ~DirectSidecar();

  /// Handles a message from an entry.
  void OnMessage(Instant now,
                 const EntryMessage& message,
                 SidecarEffects& effects);
  /// Reports that a message among the effects was not sent, so that its items
  /// do not count as sent.
  void OnNotSent(Instant now,
                 const InstanceName& to,
                 const SidecarMessage& message);
  /// Handles an announcement. Any writer may send one, and one of an earlier
  /// incarnation may arrive late, so the announced process becomes the upstream
  /// only when it answers at the upstream's address with the announced id and
  /// start time. An announcement of the present upstream is ignored when it is
  /// older than the newest one handled, or when it names another service.
  void OnUpstreamAnnounced(Instant now,
                           const UpstreamAnnouncement& announcement,
                           SidecarEffects& effects);
  /// Takes over the upstream that an earlier incarnation of this sidecar
  /// recorded, so that tasks can start before the upstream announces itself
  /// again. Ignored when there is an upstream already, or when the recorded one
  /// was draining. Its identity is checked like that of an announced one.
  void RestoreUpstream(Instant now,
                       const UpstreamAnnouncement& recorded,
                       SidecarEffects& effects);
  /// A request says that the upstream `id` shuts down. It may come late from an
  /// earlier incarnation, and its sender may still run, so the upstream takes
  /// no tasks until a listing has shown that it stays or that it has gone. Runs
  /// that are left then end like those of an upstream that has crashed.
  void OnUpstreamLeft(Instant now,
                      std::string_view id,
                      SidecarEffects& effects);
  /// Handles the result of start or stop command `number`. `clock` is the
  /// upstream's clock, 0 when there was no answer.
  void OnCommandResult(Instant now,
                       uint64_t number,
                       CommandResult result,
                       UpstreamMillis clock,
                       SidecarEffects& effects);
  /// Handles the answer to list command `number`.
  void OnListing(Instant now,
                 uint64_t number,
                 const Listing& listing,
                 UpstreamMillis clock,
                 SidecarEffects& effects);
  /// List command `number` failed or was rejected.
  void OnListingFailed(Instant now,
                       uint64_t number,
                       CommandResult result,
                       SidecarEffects& effects);
  /// Sets whether the state of the zone allows tasks to start here. Call it
  /// after each change of the configuration as well: tasks start only while
  /// DirectSidecarHooks::has_route_to the service of the upstream.
  void SetPlacementAllowed(Instant now, bool allowed, SidecarEffects& effects);
  /// Sets the control stream position that messages to entries report.
  void SetControlPosition(const ControlPosition& position);
  /// Refuses new tasks from now on; present runs may finish.
  void Stop(Instant now, SidecarEffects& effects);
  /// Performs the timed work that is due at `now`.
  void OnWakeup(Instant now, SidecarEffects& effects);
  /// Returns the latest time by which OnWakeup() must be called.
  Instant NextWakeup() const;

  DirectSidecarStatus Status() const;

 private:
  class Impl;
  explicit DirectSidecar(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_DIRECT_SIDECAR_H_

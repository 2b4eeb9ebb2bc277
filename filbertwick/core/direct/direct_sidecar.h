#ifndef FILBERTWICK_CORE_DIRECT_DIRECT_SIDECAR_H_
#define FILBERTWICK_CORE_DIRECT_DIRECT_SIDECAR_H_

#include <cstdint>
#include <memory>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/direct_settings.h"
#include "filbertwick/core/direct/message.h"
#include "filbertwick/core/direct/sidecar_effect.h"

namespace filbertwick::core::direct {

/// What a sidecar shows of itself.
struct DirectSidecarStatus {
  /// Tasks may start.
  bool open = false;
  /// Runs that hold room at the upstream.
  size_t runs = 0;
  size_t sessions = 0;
};

/// Decides what runs at the upstream beside it, for entries that place tasks
/// without an owner. Alone holds the upstream's lease and its room: whatever
/// is running, starting, stopping or not certainly rejected takes room until
/// its end is listed. A deterministic state machine: no I/O, time comes with
/// each call. Not thread-safe.
class DirectSidecar {
 public:
  /// A sidecar that has no upstream yet. `first_token` must exceed the fencing
  /// tokens of earlier lives; a token found too low is raised.
  static std::unique_ptr<DirectSidecar> Create(
      Peer self,
      uint64_t first_token,
      const DirectSidecarSettings& settings);
  ~DirectSidecar();

  /// Takes a message of an entry.
  void OnMessage(Instant now,
                 const EntryMessage& message,
                 SidecarEffects& effects);
  /// Takes an announcement of the upstream; an older life or an overtaken
  /// announcement changes nothing.
  void OnUpstreamAnnounced(Instant now,
                           const UpstreamAnnouncement& announcement,
                           SidecarEffects& effects);
  /// The upstream `id` has ended its life.
  void OnUpstreamLeft(Instant now,
                      std::string_view id,
                      SidecarEffects& effects);
  /// Takes the answer to a start or stop; `clock` is 0 without an answer.
  void OnCommandResult(Instant now,
                       uint64_t number,
                       CommandResult answer,
                       UpstreamMillis clock,
                       SidecarEffects& effects);
  /// Takes the answer to a listing.
  void OnListing(Instant now,
                 uint64_t number,
                 const Listing& listing,
                 UpstreamMillis clock,
                 SidecarEffects& effects);
  /// A listing came back without a list.
  void OnListingFailed(Instant now,
                       uint64_t number,
                       CommandResult answer,
                       SidecarEffects& effects);
  /// Opens or closes the sidecar as the configuration and the zones have it.
  void SetPlacementAllowed(Instant now, bool allowed, SidecarEffects& effects);
  /// Tells entries how far this process has followed the control stream.
  void SetControlPosition(const ControlPosition& position);
  /// Nothing starts from now on; what runs may end.
  void Stop(Instant now, SidecarEffects& effects);
  /// Does what is due at `now`.
  void OnWakeup(Instant now, SidecarEffects& effects);
  /// When OnWakeup() is due at the latest.
  Instant NextWakeup() const;

  DirectSidecarStatus Status() const;

 private:
  class Impl;
  explicit DirectSidecar(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_DIRECT_SIDECAR_H_

#ifndef FILBERTWICK_PLATFORM_PEER_SERVICE_H_
#define FILBERTWICK_PLATFORM_PEER_SERVICE_H_

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

#include "filbertwick/core/direct/datagram.h"
#include "filbertwick/core/policy/overload_detector.h"
#include "filbertwick/platform/control_follower.h"
#include "filbertwick/platform/node.h"
#include "filbertwick/platform/platform_settings.h"
#include "filbertwick/platform/store_client.h"

namespace filbertwick::platform {

/// Callbacks that differ between entries and sidecars. The default of each does
/// nothing.
struct PeerServiceHooks {
  /// A message from an entry has arrived.
  std::function<void(core::direct::EntryMessage)> entry_message =
      [](const core::direct::EntryMessage&) {};
  /// A message from a sidecar has arrived.
  std::function<void(core::direct::SidecarMessage)> sidecar_message =
      [](const core::direct::SidecarMessage&) {};
  /// A message from another entry has arrived.
  std::function<void(core::direct::HandoverMessage)> handover_message =
      [](const core::direct::HandoverMessage&) {};
  /// Returns the load that this entry reports to other instances.
  std::function<core::direct::EntryLoad()> own_load = [] {
    return core::direct::EntryLoad();
  };
  /// Another entry has reported its zone and load.
  std::function<void(const core::direct::Peer&,
                     const ZoneName&,
                     const core::direct::EntryLoad&)>
      entry_load = [](const core::direct::Peer&,
                      const ZoneName&,
                      const core::direct::EntryLoad&) {};
  /// The messages that have arrived together were passed on. `more_left` tells
  /// that more may have arrived than are read at once.
  std::function<void(bool more_left)> batch_ended = [](bool) {};
  /// An instance is new, or runs as a new incarnation.
  std::function<void(const core::direct::Member&)> member_found =
      [](const core::direct::Member&) {};
  /// The state of the control stream may have changed.
  std::function<void()> control_changed = [] {};
  /// What an entry's core knows of its own delay; null for a sidecar. It must
  /// outlive the service.
  const core::policy::OverloadDetector* overload = nullptr;
};

/// The part that entries and sidecars share: messages and membership between
/// instances, the operator's control stream, the registration of this instance
/// in the store, and HTTP ports for snapshots and metrics.
class PeerService {
 public:
  /// Starts the service; Unavailable when the peer port can't be bound.
  static absl::StatusOr<std::unique_ptr<PeerService>> Create(
      const PlatformSettings& settings,
      uint64_t incarnation,
      const NodeContext& context,
      PeerServiceHooks hooks);
  ~PeerService();

  /// Sends a datagram to an instance. Returns false when it was not sent; see
  /// net::InstanceNet::Send().
  bool Send(const InstanceName& to, const core::direct::Datagram& datagram);
  /// Replaces the seeds by those of `settings`.
  void Reload(const PlatformSettings& settings);
  /// Client of the platform's store; valid as long as this object.
  StoreClient& store();
  /// The newest known state of the control stream.
  const core::direct::ControlStreamState& control() const;
  /// How recently that state was known to be the newest.
  const core::direct::ControlFreshness& control_freshness() const;

 private:
  class Impl;
  explicit PeerService(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_PEER_SERVICE_H_

#ifndef FILBERTWICK_PLATFORM_PEER_SERVICE_H_
#define FILBERTWICK_PLATFORM_PEER_SERVICE_H_

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

#include "filbertwick/core/direct/datagram.h"
#include "filbertwick/platform/control_follower.h"
#include "filbertwick/platform/node.h"
#include "filbertwick/platform/platform_settings.h"

namespace filbertwick::platform {

/// What differs between entries and sidecars; a hook that is not set does
/// nothing.
struct PeerServiceHooks {
  std::function<void(core::direct::EntryMessage)> entry_message =
      [](const core::direct::EntryMessage&) {};
  std::function<void(core::direct::SidecarMessage)> sidecar_message =
      [](const core::direct::SidecarMessage&) {};
  std::function<void(const core::direct::Member&)> member_found =
      [](const core::direct::Member&) {};
  std::function<void()> control_changed = [] {};
};

/// What every instance has: messages and membership between instances, the
/// operator's control stream, its own record among the instances in the store,
/// and an HTTP port for snapshots and metrics.
class PeerService {
 public:
  static absl::StatusOr<std::unique_ptr<PeerService>> Create(
      const PlatformSettings& settings,
      uint64_t incarnation,
      const NodeContext& context,
      PeerServiceHooks hooks);
  ~PeerService();

  void Send(const InstanceName& to, const core::direct::Datagram& datagram);
  void Reload(const PlatformSettings& settings);
  const core::direct::ControlStreamState& control() const;

 private:
  class Impl;
  explicit PeerService(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_PEER_SERVICE_H_

#include "filbertwick/tool/live_state.h"

namespace filbertwick::tool {

bundle::LiveState MakeLiveState(const core::CoreStatus& status) {
  bundle::LiveState live;
  for (const core::ZoneStatus& zone : status.zones) {
    if (zone.out) {
      live.zones_out.insert(zone.zone);
    }
  }
  for (const core::PeerStatus& peer : status.peers) {
    if (peer.info.role == wire::Role::kSidecar) {
      live.upstreams.push_back({peer.info.name, peer.info.service,
                                peer.info.zone, peer.load.running});
    }
  }
  return live;
}

}  // namespace filbertwick::tool

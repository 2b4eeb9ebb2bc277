#include "filbertwick/core/direct/control_stream_state.h"

#include <algorithm>
#include <utility>

namespace filbertwick::core::direct {

bool ControlStreamState::Publish(uint64_t offset,
                                 std::string text,
                                 Configuration configuration) {
  Advance(offset + 1);
  if (configuration.version <= snapshot_.position.version) {
    return false;
  }
  snapshot_.position.version = configuration.version;
  snapshot_.configuration = std::move(text);
  configuration_ = std::move(configuration);
  return true;
}

bool ControlStreamState::SetZone(uint64_t offset,
                                 const ZoneName& zone,
                                 bool out) {
  if (offset < snapshot_.position.offset) {
    return false;
  }
  Advance(offset + 1);
  if (out) {
    snapshot_.zones_out.insert(zone);
  } else {
    snapshot_.zones_out.erase(zone);
  }
  return true;
}

void ControlStreamState::ResetZones(uint64_t offset, std::set<ZoneName> zones) {
  if (offset >= snapshot_.position.offset) {
    snapshot_.zones_out = std::move(zones);
    Advance(offset);
  }
}

void ControlStreamState::Advance(uint64_t offset) {
  snapshot_.position.offset = std::max(snapshot_.position.offset, offset);
}

}  // namespace filbertwick::core::direct

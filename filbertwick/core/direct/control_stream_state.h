#ifndef FILBERTWICK_CORE_DIRECT_CONTROL_STREAM_STATE_H_
#define FILBERTWICK_CORE_DIRECT_CONTROL_STREAM_STATE_H_

#include <cstdint>
#include <set>
#include <string>

#include "filbertwick/base/name.h"
#include "filbertwick/core/direct/configuration.h"
#include "filbertwick/core/direct/message.h"
#include "filbertwick/wire/archive.h"

namespace filbertwick::core::direct {

/// All that is known of the control stream, for an instance that can't reach
/// the store itself.
struct ControlSnapshot {
  ControlPosition position;
  /// The configuration as it was published; empty before the first.
  std::string configuration;
  std::set<ZoneName> zones_out;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(position, configuration, zones_out);
  }
};

/// What the operator has published, as far as this process knows. The version
/// never goes back in one life of the process, whoever tells of it.
class ControlStreamState {
 public:
  /// Takes a configuration read at `offset`; false when a newer one is known.
  bool Publish(uint64_t offset, std::string text, Configuration configuration);
  /// Takes a zone out or back in, as read at `offset`; false when newer
  /// records are known.
  bool SetZone(uint64_t offset, const ZoneName& zone, bool out);
  /// Replaces the zones by those found when the newest records were read.
  void ResetZones(uint64_t offset, std::set<ZoneName> zones);
  /// Everything before `offset` is known.
  void Advance(uint64_t offset);

  const ControlPosition& position() const { return snapshot_.position; }
  const Configuration& configuration() const { return configuration_; }
  const ControlSnapshot& snapshot() const { return snapshot_; }
  bool has_configuration() const { return snapshot_.position.version > 0; }
  bool IsZoneOut(const ZoneName& zone) const {
    return snapshot_.zones_out.contains(zone);
  }

 private:
  ControlSnapshot snapshot_;
  Configuration configuration_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_CONTROL_STREAM_STATE_H_

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

/// The state that results from the control stream up to `position`. Instances
/// send it to others that can't reach the store themselves.
struct ControlSnapshot {
  ControlPosition position;
  /// The configuration document as published; empty before the first one.
  std::string configuration;
  std::set<ZoneName> zones_out;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(position, configuration, zones_out);
  }
};

/// The configuration and the zones taken out of service, as far as this process
/// has followed the control stream. Records may arrive late or twice, from the
/// store or from other instances; within one process the configuration version
/// never decreases.
class ControlStreamState {
 public:
  /// Applies a configuration read at `offset`. Returns false and keeps the
  /// present configuration when its version is the same or higher; the stream
  /// position advances in either case.
  bool Publish(uint64_t offset, std::string text, Configuration configuration);
  /// Takes a zone out of service or back in, as read at `offset`. Returns false
  /// and changes nothing when the record at `offset` has already been applied.
  bool SetZone(uint64_t offset, const ZoneName& zone, bool out);
  /// Replaces the set of zones out of service by `zones`, the set that results
  /// from all records before `offset`. Ignored when later records have already
  /// been applied.
  void ResetZones(uint64_t offset, std::set<ZoneName> zones);
  /// Records that everything before `offset` has been applied.
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

#ifndef FILBERTWICK_CORE_ENTRY_ZONE_OUT_TRACKER_H_
#define FILBERTWICK_CORE_ENTRY_ZONE_OUT_TRACKER_H_

#include <map>
#include <vector>

#include "filbertwick/core/core.h"
#include "filbertwick/core/state/member.h"

namespace filbertwick::core {

/// Tells when a zone that was taken out is certainly out: its record has
/// reached more than half of the members and every older statement and token
/// has lapsed.
class ZoneOutTracker {
 public:
  /// A watch over `member`, which must outlive it.
  explicit ZoneOutTracker(const Member& member);

  /// Looks at every zone that is out.
  void Tick(Instant now);
  /// Every zone of the bundle, for the status page.
  std::vector<ZoneStatus> Status(Instant now) const;

 private:
  /// A zone that is out.
  struct ZoneOut {
    wire::LogOffset offset = 0;
    /// When the record was first seen to have been carried.
    Instant carried_at = Instant::max();
  };

  bool IsCertainlyOut(Instant now, const ZoneName& zone) const;

  const Member& member_;
  std::map<ZoneName, ZoneOut> zones_out_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_ZONE_OUT_TRACKER_H_

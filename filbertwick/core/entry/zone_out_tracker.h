#ifndef FILBERTWICK_CORE_ENTRY_ZONE_OUT_TRACKER_H_
#define FILBERTWICK_CORE_ENTRY_ZONE_OUT_TRACKER_H_

#include <map>
#include <vector>

#include "filbertwick/core/core.h"
#include "filbertwick/core/state/member.h"

namespace filbertwick::core {

/// Determines when a zone that was taken out is certainly out, so that no task
/// can start there any more. This is the case once a quorum (see Member) has
/// applied the record that took it out, and all quorum evidence and clock
/// tokens from before have expired.
class ZoneOutTracker {
 public:
  /// Keeps a reference to `member`, which must outlive the tracker.
  explicit ZoneOutTracker(const Member& member);

  /// Updates the state of every zone that is out.
  void Tick(Instant now);
  /// Status of every zone of the bundle, for the status page.
  std::vector<ZoneStatus> Status(Instant now) const;

 private:
  /// A zone that is out.
  struct ZoneOut {
    /// Offset of the record that took the zone out.
    wire::LogOffset offset = 0;
    /// When a quorum was first known to have applied the record.
    Instant quorum_applied_at = Instant::max();
  };

  /// True when more than twice the evidence age, plus a margin for clock rates,
  /// has passed since ZoneOut::quorum_applied_at.
  bool IsCertainlyOut(Instant now, const ZoneName& zone) const;

  const Member& member_;
  std::map<ZoneName, ZoneOut> zones_out_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_ZONE_OUT_TRACKER_H_

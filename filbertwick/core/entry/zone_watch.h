#ifndef FILBERTWICK_CORE_ENTRY_ZONE_WATCH_H_
#define FILBERTWICK_CORE_ENTRY_ZONE_WATCH_H_

#include <map>
#include <vector>

#include "filbertwick/core/core.h"
#include "filbertwick/core/state/member.h"

namespace filbertwick::core {

/// Determines when a zone that was taken out is certainly out, so that no task
/// can start there any more. This is the case once a majority of the members
/// has applied the record that took it out, and every older evidence and token
/// has expired since.
class ZoneWatch {
 public:
  /// Keeps a reference to `member`, which must outlive the tracker.
  explicit ZoneWatch(const Member& member);

  /// Updates the state of every zone that is out.
  void Tick(Instant now);
  /// Status of every zone of the bundle, for the status page.
  std::vector<ZoneStatus> Status(Instant now) const;

 private:
  /// A zone that is out.
  struct Watched {
    /// Offset of the record that took the zone out.
    wire::LogOffset offset = 0;
    /// When a majority was first known to have applied the record.
    Instant carried_at = Instant::max();
  };

  bool IsCertain(Instant now, const ZoneName& zone) const;

  const Member& member_;
  std::map<ZoneName, Watched> watched_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_ZONE_WATCH_H_

#ifndef FILBERTWICK_CORE_CORE_H_
#define FILBERTWICK_CORE_CORE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/effect.h"
#include "filbertwick/core/event.h"
#include "filbertwick/wire/control_record.h"

namespace filbertwick::core {

/// Another instance as this one sees it, for the status page.
struct PeerStatus {
  wire::InstanceInfo info;
  /// Number of control records that the instance has applied.
  wire::LogOffset offset = 0;
  /// Time since its last message; negative when none has arrived.
  Duration age{-1};
  /// True when its replies count towards a quorum.
  bool is_voter = false;
  wire::Load load;
  /// True when its upstream gets no tasks because it fails more often than the
  /// other upstreams of its service.
  bool ejected = false;
};

/// One availability zone, for the status page.
struct ZoneStatus {
  ZoneName zone;
  RegionName region;
  /// True when operators have taken the zone out of service.
  bool out = false;
  /// True when no task can start in the zone any more: a quorum has applied the
  /// record and every older clock token has expired. False for a zone that is
  /// in service.
  bool certainly_out = false;
  /// Tasks that run in the zone.
  uint32_t running = 0;
};

/// Status of one instance, for the status page.
struct CoreStatus {
  wire::InstanceInfo info;
  /// Number of control records that this instance has applied.
  wire::LogOffset offset = 0;
  uint64_t bundle_version = 0;
  /// Generation of the region's member set; 0 while the region is unknown.
  uint32_t generation = 0;
  /// Age of the oldest reply that the quorum evidence needs; negative without
  /// quorum evidence.
  Duration evidence_age{-1};
  /// True when the instance can take new work.
  bool ready = false;
  bool stopping = false;
  uint32_t shards_owned = 0;
  /// Owned shards whose fence wait is over, so that their jobs are dispatched.
  uint32_t shards_serving = 0;
  /// Jobs of an entry, or tasks that run at the upstream of a sidecar.
  uint64_t jobs_running = 0;
  uint64_t tasks_waiting = 0;
  std::vector<PeerStatus> peers;
  std::vector<ZoneStatus> zones;
};

/// Deterministic state machine of one instance: the same events at the same
/// times produce the same effects, byte for byte. The host (the daemon, or the
/// simulator in tests) does all I/O: it passes events to Handle() and performs
/// the effects in order. Not thread-safe.
class Core {
 public:
  virtual ~Core() = default;

  /// Processes one event and appends the resulting effects to `effects`.
  virtual void Handle(const Now& now, Event event, Effects& effects) = 0;

  /// Instant by which the host must pass in a WakeupEvent at the latest.
  virtual Instant NextWakeup() const = 0;

  /// Digest of the whole state, to compare two runs.
  virtual uint64_t StateHash() const = 0;

  /// Description and address of a registered instance; null when unknown.
  virtual const wire::InstanceInfo* FindPeer(
      const InstanceName& name) const = 0;

  /// The status to show operators.
  virtual CoreStatus Status(const Now& now) const = 0;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_CORE_H_

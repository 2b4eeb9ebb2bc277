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

/// One instance another knows of, for the status page.
struct PeerStatus {
  wire::InstanceInfo info;
  wire::LogOffset offset = 0;
  /// Age of the newest statement; negative when none was heard.
  Duration age{-1};
  bool is_voter = false;
  wire::Load load;
  bool ejected = false;
};

/// One availability zone, for the status page.
struct ZoneStatus {
  ZoneName zone;
  RegionName region;
  bool out = false;
  /// No task can start there any more; always false for a zone that is in.
  bool certainly_out = false;
  uint32_t running = 0;
};

/// What a core shows of itself.
struct CoreStatus {
  wire::InstanceInfo info;
  wire::LogOffset offset = 0;
  uint64_t bundle_version = 0;
  uint32_t generation = 0;
  /// Age of the evidence; negative when it does not hold.
  Duration evidence_age{-1};
  bool ready = false;
  bool stopping = false;
  uint32_t shards_owned = 0;
  uint32_t shards_serving = 0;
  uint64_t jobs_running = 0;
  uint64_t tasks_waiting = 0;
  std::vector<PeerStatus> peers;
  std::vector<ZoneStatus> zones;
};

/// A deterministic state machine of one instance: the same events at the same
/// times give the same effects, byte for byte. Not thread-safe.
class Core {
 public:
  virtual ~Core() = default;

  /// Takes one event and appends what the host shall do to `effects`.
  virtual void Handle(const Now& now, Event event, Effects& effects) = 0;

  /// When a WakeupEvent is due at the latest.
  virtual Instant NextWakeup() const = 0;

  /// Digest of the whole state.
  virtual uint64_t StateHash() const = 0;

  /// Address of an instance of record; null when unknown.
  virtual const wire::InstanceInfo* FindPeer(
      const InstanceName& name) const = 0;

  /// The state to show operators.
  virtual CoreStatus Status(const Now& now) const = 0;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_CORE_H_

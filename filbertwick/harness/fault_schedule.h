#ifndef FILBERTWICK_HARNESS_FAULT_SCHEDULE_H_
#define FILBERTWICK_HARNESS_FAULT_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "filbertwick/harness/random.h"
#include "filbertwick/harness/testbed.h"

namespace filbertwick::harness {

/// Kinds of injected faults, and of changes by operators and callers that are
/// scheduled among them. kFaultKindNames in fault_schedule.cc lists
/// the names that Describe() prints in the same order.
enum class FaultKind : uint8_t {
  kKillEntry,
  kKillSidecar,
  /// Kills a sidecar together with its executor.
  kKillWorker,
  kPauseEntry,
  kPauseSidecar,
  /// Cuts an instance off from all others, in both directions.
  kIsolate,
  kCutOneWay,
  /// Cuts all links between a zone and the other zones.
  kCutZone,
  kDisturbLinks,
  kLogDown,
  kLogSlow,
  /// Appends take effect, but some of their answers are lost.
  kLogLosesAnswers,
  /// Discards all records before the newest checkpoint.
  kLogTrimmed,
  /// Cuts one instance off from the control log.
  kLogUnreachable,
  kZoneOut,
  kZoneOutAndIn,
  /// Sends three conflicting changes of one zone at once.
  kZoneRace,
  kPublish,
  /// Sends three conflicting bundle publications at once.
  kPublishRace,
  kStopEntry,
  kStopSidecar,
  kUpstreamLeaves,
  kExecutorFails,
  kExecutorHangs,
  kExecutorDies,
  kRestartAll,
  /// Submits many jobs at once.
  kBurst,
};

/// One scheduled fault.
struct Fault {
  FaultKind kind = FaultKind::kKillEntry;
  /// Start of the fault, measured from the start of the load.
  Duration at{0};
  /// Time from the start of the fault until it is reverted.
  Duration length{0};
  /// Affected instance; ignored by kinds without one.
  InstanceName target;
  /// Affected zone; ignored by kinds without one.
  ZoneName zone;
  /// Random bits that a kind decodes into its variant, such as the direction in
  /// which a link is cut.
  uint64_t choice = 0;
};

/// Formats a fault as one line.
std::string Describe(const Fault& fault);

/// Limits of a random schedule.
struct ScheduleSettings {
  /// Faults begin within this time from the start of the load.
  Duration window = std::chrono::seconds(4);
  /// Bounds of the length of a fault.
  Duration shortest = std::chrono::milliseconds(50);
  Duration longest = std::chrono::seconds(4);
  /// A schedule has between one and this many faults.
  uint32_t max_faults = 6;
};

/// Draws a random schedule, ordered by start. Some faults begin shortly after
/// another one, and some share its target or zone, to cover combinations.
std::vector<Fault> DrawFaults(const Deployment& deployment,
                              const ScheduleSettings& settings,
                              Random& random);

/// Schedules the start and the end of a fault in the testbed's event loop,
/// relative to the current virtual time.
void ScheduleFault(Testbed& testbed, const Fault& fault);

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_FAULT_SCHEDULE_H_

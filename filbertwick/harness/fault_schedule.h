#ifndef FILBERTWICK_HARNESS_FAULT_SCHEDULE_H_
#define FILBERTWICK_HARNESS_FAULT_SCHEDULE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "filbertwick/harness/random.h"
#include "filbertwick/harness/testbed.h"

namespace filbertwick::harness {

/// Kinds of faults and of changes that may come at a bad moment.
enum class FaultKind : uint8_t {
  kKillEntry,
  kKillSidecar,
  kKillWorker,
  kPauseEntry,
  kPauseSidecar,
  kIsolate,
  kCutOneWay,
  kCutZone,
  kDisturbLinks,
  kLogDown,
  kLogSlow,
  kLogLosesAnswers,
  kLogTrimmed,
  kLogUnreachable,
  kZoneOut,
  kZoneOutAndIn,
  kZoneRace,
  kPublish,
  kPublishRace,
  kStopEntry,
  kStopSidecar,
  kUpstreamLeaves,
  kExecutorFails,
  kExecutorHangs,
  kExecutorDies,
  kRestartAll,
  kBurst,
};

/// One fault of a schedule.
struct Fault {
  FaultKind kind = FaultKind::kKillEntry;
  /// When it begins, after the load began.
  Duration at{0};
  /// How long it lasts.
  Duration length{0};
  /// Instance it hits, if any.
  InstanceName target;
  /// Zone it hits, if any.
  ZoneName zone;
  /// Kind-specific choice, such as which way a link is cut.
  uint64_t choice = 0;
};

/// One line about a fault.
std::string Describe(const Fault& fault);

/// Shape of a drawn schedule.
struct ScheduleSettings {
  /// Time in which faults begin.
  Duration window = std::chrono::seconds(4);
  Duration shortest = std::chrono::milliseconds(50);
  Duration longest = std::chrono::seconds(4);
  uint32_t max_faults = 6;
};

/// Draws faults, in order of time; some come together.
std::vector<Fault> DrawFaults(const Deployment& deployment,
                              const ScheduleSettings& settings,
                              Random& random);

/// Adds the begin and the end of a fault to the testbed's loop.
void ScheduleFault(Testbed& testbed, const Fault& fault);

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_FAULT_SCHEDULE_H_

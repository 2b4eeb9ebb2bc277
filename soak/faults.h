#ifndef FILBERTWICK_SOAK_FAULTS_H_
#define FILBERTWICK_SOAK_FAULTS_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "filbertwick/base/time.h"
#include "soak/fleet.h"

namespace filbertwick::soak {

enum class FaultKind : uint8_t {
  kKill,
  kKillAll,
  kStop,
  kPause,
  /// An entry stands still and its callers' connections break.
  kPauseAndReset,
  kReload,
  kUpstreamDies,
  kUpstreamHangs,
  kUpstreamLate,
  kDrain,
  kRelay,
  kStoreDown,
  kStoreCompact,
  kConfiguration,
  kZoneOut,
};
inline constexpr size_t kFaultKinds = 15;

/// A disturbance of a fleet, from a time on for some time.
struct Fault {
  FaultKind kind = FaultKind::kKill;
  Duration at{0};
  Duration length{0};
  /// Which instance or zone is meant; taken modulo their number.
  size_t target = 0;
  /// Which relay, and how it disturbs.
  size_t choice = 0;
};

/// Draws faults for a run of this length: some come alone, some in series and
/// at one time.
std::vector<Fault> DrawFaults(uint64_t seed, Duration length, size_t instances);

/// One line that tells a fault.
std::string Describe(const Fault& fault);

/// Plays a fault on the context's timers; the fleet must outlive them.
void ScheduleFault(boost::asio::io_context& context,
                   Fleet& fleet,
                   const Fault& fault);

}  // namespace filbertwick::soak

#endif  // FILBERTWICK_SOAK_FAULTS_H_

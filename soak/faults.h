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
  /// Pauses an entry and resets its callers' connections.
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

/// One fault that is injected into a fleet.
struct Fault {
  FaultKind kind = FaultKind::kKill;
  /// Start, counted from the call of ScheduleFault().
  Duration at{0};
  Duration length{0};
  /// Index of the affected instance or zone, modulo their number.
  size_t target = 0;
  /// For kRelay: selects the relay and its mode, each by a modulus.
  size_t choice = 0;
};

/// Draws random faults for a run of `length` on a fleet of `instances`. Some
/// start at independent times, others in series shortly after the fault drawn
/// before them, so that faults overlap. The same arguments give the same
/// faults.
std::vector<Fault> DrawFaults(uint64_t seed, Duration length, size_t instances);

/// Describes a fault in one line.
std::string Describe(const Fault& fault);

/// Schedules the start and the end of a fault on timers of `context`. The fleet
/// must outlive these timers, since they refer to it.
void ScheduleFault(boost::asio::io_context& context,
                   Fleet& fleet,
                   const Fault& fault);

}  // namespace filbertwick::soak

#endif  // FILBERTWICK_SOAK_FAULTS_H_

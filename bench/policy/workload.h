#ifndef BENCH_POLICY_WORKLOAD_H_
#define BENCH_POLICY_WORKLOAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/time.h"

namespace filbertwick::bench {

/// Sizes and latencies of one installation.
struct Deployment {
  std::string name;
  uint32_t zones = 0;
  uint32_t executors = 0;
  uint32_t slots = 8;
  /// Offers that may wait at one sidecar.
  uint32_t queue = 2;
  uint32_t entries = 3;
  uint32_t teams = 0;
  /// One-way latencies.
  Duration same_zone{100};
  Duration between_zones{0};
  Duration client{1000};
  /// Length of the measured arrivals of one seed.
  Duration length = std::chrono::seconds(60);

  uint64_t total_slots() const { return uint64_t{executors} * slots; }
};

/// The deployment `name`, if there is one: wiertmistrz, nilecut or letter.
std::optional<Deployment> FindDeployment(std::string_view name);

/// What goes wrong in a run.
enum class Fault : uint8_t {
  kNone,
  kSlow,
  kFail,
  kHang,
  kStragglers,
  kPoison,
  kCancel,
  kBurst,
  kZone,
  kEntryLost,
  kLateLoad,
  kResubmit,
  kGreedyTeam,
};

/// The fault `name`, if there is one.
std::optional<Fault> FindFault(std::string_view name);
/// Names of all faults, in order of the enumeration.
const std::vector<std::string>& FaultNames();

/// One job of the load.
struct JobArrival {
  /// When its caller sends it.
  Instant at;
  uint32_t team = 0;
  /// Entry that owns it.
  uint32_t entry = 0;
  bool urgent = false;
  Duration deadline{0};
  /// Run time of each task on a sound upstream.
  std::vector<Duration> run_times;
  /// Fails wherever it runs.
  bool poison = false;
  /// Its caller cancels it at this time.
  std::optional<Instant> cancel;
  /// Time of the whole job alone on the idle system, without latency.
  Duration ideal{0};

  Duration work() const;
};

/// When the fault of a run begins and ends.
inline constexpr Instant kFaultStart = Instant(std::chrono::seconds(20));
inline constexpr Instant kFaultEnd = Instant(std::chrono::seconds(40));

/// Arrivals of one seed, in order of time: their work is `load` of the
/// capacity over the deployment's length.
std::vector<JobArrival> MakeArrivals(const Deployment& deployment,
                                     double load,
                                     uint64_t seed,
                                     Fault fault);

}  // namespace filbertwick::bench

#endif  // BENCH_POLICY_WORKLOAD_H_

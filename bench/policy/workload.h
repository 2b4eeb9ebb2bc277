#ifndef BENCH_POLICY_WORKLOAD_H_
#define BENCH_POLICY_WORKLOAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/time.h"

namespace filbertwick::bench {

/// Sizes and latencies of one simulated deployment.
struct Deployment {
  std::string name;
  uint32_t zones = 0;
  uint32_t executors = 0;
  uint32_t slots = 8;
  /// Maximum number of queued offers at one sidecar.
  uint32_t queue = 2;
  uint32_t entries = 3;
  uint32_t teams = 0;
  /// One-way latencies in microseconds.
  Duration same_zone{100};
  Duration between_zones{0};
  Duration client{1000};
  /// Time span of the arrivals of one seed.
  Duration length = std::chrono::seconds(60);

  uint64_t total_slots() const { return uint64_t{executors} * slots; }
};

/// Returns the deployment `name` (wiertmistrz, nilecut or letter), or nothing
/// for an unknown name.
std::optional<Deployment> FindDeployment(std::string_view name);

/// The fault that is injected into a run.
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

/// Returns the fault `name`, or nothing for an unknown name.
std::optional<Fault> FindFault(std::string_view name);
/// Returns the names of all faults, in the order of the enumeration.
const std::vector<std::string>& FaultNames();

/// One job of the generated load.
struct JobArrival {
  /// Time at which the caller submits the job.
  Instant at;
  uint32_t team = 0;
  /// Entry that owns the job.
  uint32_t entry = 0;
  bool urgent = false;
  Duration deadline{0};
  /// Run time of each task on a healthy upstream.
  std::vector<Duration> run_times;
  /// Whether all tasks of the job fail on every upstream.
  bool poison = false;
  /// Time at which the caller cancels the job, if it does.
  std::optional<Instant> cancel;
  /// Time of the whole job alone on the idle system, without network latency.
  Duration ideal{0};

  Duration work() const;
};

/// Start and end of the fault of a run.
inline constexpr Instant kFaultStart = Instant(std::chrono::seconds(20));
inline constexpr Instant kFaultEnd = Instant(std::chrono::seconds(40));

/// Returns the arrivals of one seed, sorted by time. Their work is the fraction
/// `load` of the capacity over the deployment's length, before the jobs that
/// the fault adds.
std::vector<JobArrival> MakeArrivals(const Deployment& deployment,
                                     double load,
                                     uint64_t seed,
                                     Fault fault);

}  // namespace filbertwick::bench

#endif  // BENCH_POLICY_WORKLOAD_H_

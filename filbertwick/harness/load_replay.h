#ifndef FILBERTWICK_HARNESS_LOAD_REPLAY_H_
#define FILBERTWICK_HARNESS_LOAD_REPLAY_H_

#include <cstdint>
#include <string>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/direct_settings.h"

namespace filbertwick::harness {

/// Jobs of one kind.
struct LoadKind {
  std::string name;
  double jobs_per_second = 0;
  uint32_t tasks = 1;
  /// Mean run time of a task; single ones vary by half of it either way. The
  /// estimate that the job carries differs from the real time by as much.
  Duration run_time{0};
  int64_t cpu_millis = 1000;
  /// 0 is the highest priority.
  uint32_t priority = 0;
  uint32_t max_attempts = 2;
  /// Value of an answer in time.
  double worth = 1;
  /// Size of the description that each task is started with.
  size_t spec_bytes = 0;
};

/// A change of the load or of the upstreams.
struct LoadEvent {
  enum class Type : uint8_t {
    /// Jobs arrive `factor` times as often.
    kBurst,
    /// Tasks on `count` upstreams take `factor` times as long.
    kSlow,
    /// Tasks on `count` upstreams fail after a tenth of their run time.
    kFailing,
    /// Tasks on `count` upstreams make no progress.
    kHanging,
    /// `count` upstreams leave for the time.
    kLost,
    /// The share `factor` of commands is not answered and carried out late.
    kLateCommands,
    /// The share `factor` of callers leaves before the answer.
    kLeavingCallers,
    /// All entries and sidecars lose power, and their upstreams with them if
    /// `factor` is above 0; they are back at the end of the event.
    kPowerLoss,
    /// The links of the entries carry the share `factor` of
    /// LoadPattern::entry_link_bytes_per_second.
    kNarrowLinks,
    /// The share `factor` of the jobs of the first kind has a task that crashes
    /// each upstream that starts it. The upstream is back after kCrashDowntime.
    kCrashingTasks,
  };

  Type type = Type::kBurst;
  Duration at{0};
  Duration length{0};
  double factor = 1;
  uint32_t count = 0;
};

/// A load described as data.
struct LoadPattern {
  std::vector<LoadKind> kinds;
  std::vector<LoadEvent> events;
  Duration length = std::chrono::seconds(10);
  uint32_t entries = 3;
  uint32_t sidecars = 11;
  int64_t cpu_millis_per_upstream = 16'000;
  /// Every upstream whose number is a multiple of this is of another machine
  /// kind; 0 is none.
  uint32_t other_kind_interval = 0;
  /// Factors of the run times on upstreams of the first and the other kind.
  double run_time_factor = 1;
  double other_run_time_factor = 1;
  /// A job's target latency is this plus `stretch` times its run time.
  Duration target_latency = std::chrono::milliseconds(60);
  double stretch = 1.6;
  /// What the link of an entry carries each way; messages wait for those before
  /// them. 0 is no limit.
  uint64_t entry_link_bytes_per_second = 0;
  /// How long callers wait.
  Duration time_limit = std::chrono::milliseconds(2500);
  uint64_t seed = 1;
  core::direct::DirectEntrySettings entry;
  core::direct::DirectSidecarSettings sidecar;
};

/// Sums over the jobs that arrived in one second, or of one kind.
struct LoadFigures {
  uint32_t asked = 0;
  uint32_t in_time = 0;
  /// Answered with the result between the target latency and three times it.
  uint32_t late = 0;
  uint32_t refused = 0;
  uint32_t failed = 0;
  /// Jobs whose callers left, or whose connections broke.
  uint32_t left = 0;
  /// Worth of the jobs that were asked for by callers who stayed.
  double worth_asked = 0;
  /// Worth of those answered in time, and a fifth of it of those answered late.
  double worth_earned = 0;
};

/// Result of a replay.
struct LoadResult {
  LoadFigures total;
  /// By the second of arrival.
  std::vector<LoadFigures> seconds;
  /// In the order of LoadPattern::kinds.
  std::vector<LoadFigures> kinds;
  /// By the second of arrival, for each of `kinds`.
  std::vector<std::vector<LoadFigures>> seconds_of_kinds;
  /// Used and present CPU of all upstreams, sampled every kSampleInterval.
  std::vector<int64_t> used_cpu_millis;
  std::vector<int64_t> present_cpu_millis;
  /// Tasks that had two runs at a time, and upstreams over their capacity;
  /// always 0 unless a guarantee is broken.
  uint32_t violations = 0;
  /// Most upstreams that have crashed under one task.
  uint32_t max_crashes_of_task = 0;
  /// Crashes of upstreams.
  uint32_t crashes = 0;

  double Worth() const { return total.worth_earned / total.worth_asked; }
};

inline constexpr Duration kSampleInterval = std::chrono::milliseconds(20);
/// See LoadEvent::Type::kCrashingTasks.
inline constexpr Duration kCrashDowntime = std::chrono::milliseconds(3200);

/// Runs a load through the real entry and sidecar cores in virtual time.
/// Deterministic: equal patterns give equal results.
LoadResult ReplayLoad(const LoadPattern& pattern);

/// The deployment and the mix of jobs of the ticket sales: 11 upstreams, three
/// entries, jobs of 8 short, 4 long and 2 medium tasks. `scale` is 1 for a load
/// of about four fifths of the capacity.
LoadPattern TicketSalesLoad(double scale);

/// A load with a name, for tools.
struct NamedLoad {
  std::string name;
  LoadPattern pattern;
};

/// TicketSalesLoad() calm, beyond the capacity, and with each type of event, at
/// loads where the event matters.
std::vector<NamedLoad> NamedLoads();

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_LOAD_REPLAY_H_

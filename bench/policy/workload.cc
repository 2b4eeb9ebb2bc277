#include "bench/policy/workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <numbers>
#include <numeric>
#include <queue>
#include <random>

namespace filbertwick::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kShortestTask = milliseconds(50);
constexpr Duration kLongestTask = seconds(10);
constexpr uint32_t kLargestJob = 980;

/// Random numbers that are the same on every platform, unlike those of the
/// standard distributions.
class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  /// Returns a uniform number in [0, 1).
  double Unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  /// Returns a uniform integer in [0, n).
  uint32_t Below(uint32_t n) { return static_cast<uint32_t>(Unit() * n); }
  /// Returns a standard normal number.
  double Normal() {
    return std::sqrt(-2.0 * std::log(1.0 - Unit())) *
           std::cos(2.0 * std::numbers::pi * Unit());
  }

 private:
  std::mt19937_64 engine_;
};

/// Returns the time of a job that has all slots for itself and starts its
/// longest tasks first.
Duration IdealTime(std::vector<Duration> run_times, uint64_t slots) {
  std::ranges::sort(run_times, std::greater<>());
  if (run_times.size() <= slots) {
    return run_times.front();
  }
  std::priority_queue<Duration, std::vector<Duration>, std::greater<>> busy;
  Duration end{0};
  for (const Duration run_time : run_times) {
    Duration start{0};
    if (busy.size() == slots) {
      start = busy.top();
      busy.pop();
    }
    busy.push(start + run_time);
    end = std::max(end, start + run_time);
  }
  return end;
}

Duration DrawRunTime(Random& random, double scale, Fault fault) {
  // Most tasks take 50 ms to 1 s; 1% take several seconds.
  double millis = scale * std::exp(0.6 * random.Normal());
  if (random.Unit() < 0.01) {
    millis = 2000.0 / std::sqrt(1.0 - random.Unit());
  }
  if (fault == Fault::kStragglers && random.Unit() < 0.01) {
    millis *= 20.0;
  }
  const Duration longest =
      fault == Fault::kStragglers ? 2 * kLongestTask : kLongestTask;
  return std::clamp(Duration(std::llround(millis * 1000.0)), kShortestTask,
                    longest);
}

uint32_t DrawTaskCount(Random& random, bool urgent) {
  if (urgent) {
    return 1 + random.Below(random.Unit() < 0.6 ? 1 : 4);
  }
  // Bounded Pareto distribution from 4 tasks to kLargestJob.
  const double size = 4.0 / (1.0 - random.Unit() * (1.0 - 4.0 / kLargestJob));
  return std::min(static_cast<uint32_t>(size), kLargestJob);
}

JobArrival MakeJob(const Deployment& deployment, Random& random, Fault fault) {
  JobArrival job;
  job.urgent = random.Unit() < 0.7;
  job.team = random.Below(deployment.teams);
  job.entry = random.Below(deployment.entries);
  job.deadline = job.urgent ? seconds(12) : seconds(60);
  // Tasks of one job share a run-time scale, which differs between jobs.
  const double scale = 200.0 * std::exp(0.5 * random.Normal());
  job.run_times.resize(DrawTaskCount(random, job.urgent));
  for (Duration& run_time : job.run_times) {
    run_time = DrawRunTime(random, scale, fault);
  }
  job.poison = fault == Fault::kPoison && random.Unit() < 0.02;
  return job;
}

/// Draws an arrival time within the deployment's length; for half a second
/// every ten seconds the rate is doubled.
Instant DrawArrivalTime(const Deployment& deployment, Random& random) {
  constexpr Duration kPeriod = seconds(10);
  constexpr Duration kBurst = milliseconds(500);
  while (true) {
    const auto length = static_cast<double>(deployment.length.count());
    const Duration at(static_cast<int64_t>(random.Unit() * length));
    if (at % kPeriod < kBurst || random.Unit() < 0.5) {
      return Instant(at);
    }
  }
}

void AddFault(const Deployment& deployment,
              double load,
              Random& random,
              Fault fault,
              std::vector<JobArrival>& jobs) {
  if (fault == Fault::kCancel) {
    // 30% of the callers that submitted a job before the fault cancel it when
    // the fault starts.
    for (JobArrival& job : jobs) {
      if (random.Unit() < 0.3 && job.at < kFaultStart) {
        job.cancel = kFaultStart;
      }
    }
  }
  const auto add = [&](Instant from, Duration length, double extra_load,
                       std::optional<uint32_t> team) {
    const double work = extra_load *
                        static_cast<double>(deployment.total_slots()) *
                        static_cast<double>(length.count());
    double made = 0;
    while (made < work) {
      JobArrival job = MakeJob(deployment, random, fault);
      const auto span = static_cast<double>(length.count());
      job.at = from + Duration(static_cast<int64_t>(random.Unit() * span));
      job.team = team.value_or(job.team);
      made += static_cast<double>(job.work().count());
      jobs.push_back(std::move(job));
    }
  };
  if (fault == Fault::kBurst) {
    add(kFaultStart, seconds(2), 4.0 * load, std::nullopt);
  }
  if (fault == Fault::kGreedyTeam) {
    add(kFaultStart, kFaultEnd - kFaultStart, 1.0, 0);
  }
}

}  // namespace

std::optional<Deployment> FindDeployment(std::string_view name) {
  static const std::array<Deployment, 3> deployments = {{
      {.name = "wiertmistrz",
       .zones = 4,
       .executors = 11,
       .teams = 20,
       .between_zones = Duration(500)},
      {.name = "nilecut",
       .zones = 3,
       .executors = 11,
       .teams = 20,
       .between_zones = Duration(1400)},
      {.name = "letter",
       .zones = 3,
       .executors = 950,
       .entries = 6,
       .teams = 450,
       .between_zones = Duration(1000),
       .length = seconds(10)},
  }};
  const auto it = std::ranges::find(deployments, name, &Deployment::name);
  return it == deployments.end() ? std::nullopt : std::optional(*it);
}

const std::vector<std::string>& FaultNames() {
  static const std::vector<std::string> names = {
      "none",      "slow",     "fail",       "hang", "stragglers",
      "poison",    "cancel",   "burst",      "zone", "entry-lost",
      "late-load", "resubmit", "greedy-team"};
  return names;
}

std::optional<Fault> FindFault(std::string_view name) {
  const auto it = std::ranges::find(FaultNames(), name);
  if (it == FaultNames().end()) {
    return std::nullopt;
  }
  return static_cast<Fault>(it - FaultNames().begin());
}

Duration JobArrival::work() const {
  return std::accumulate(run_times.begin(), run_times.end(), Duration(0));
}

std::vector<JobArrival> MakeArrivals(const Deployment& deployment,
                                     double load,
                                     uint64_t seed,
                                     Fault fault) {
  Random random(seed);
  // Adds jobs at random times until their work reaches the load: a Poisson
  // process conditioned on its mean.
  const double wanted = load * static_cast<double>(deployment.total_slots()) *
                        static_cast<double>(deployment.length.count());
  std::vector<JobArrival> jobs;
  double made = 0;
  while (made < wanted) {
    JobArrival job = MakeJob(deployment, random, fault);
    job.at = DrawArrivalTime(deployment, random);
    made += static_cast<double>(job.work().count());
    jobs.push_back(std::move(job));
  }
  AddFault(deployment, load, random, fault, jobs);
  std::ranges::stable_sort(jobs, {}, &JobArrival::at);
  for (JobArrival& job : jobs) {
    job.ideal = IdealTime(job.run_times, deployment.total_slots());
  }
  return jobs;
}

}  // namespace filbertwick::bench

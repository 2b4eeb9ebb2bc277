#include "filbertwick/harness/fault_trial.h"

#include <absl/status/status.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <memory>
#include <set>
#include <utility>

namespace filbertwick::harness {
namespace {

/// Time for the entries to become ready.
constexpr Duration kBootLimit = std::chrono::seconds(8);
/// Length of the load.
constexpr Duration kLoadTime = std::chrono::seconds(6);
/// Time from the start of the load until all faults are reverted.
constexpr Duration kHealAfter = std::chrono::milliseconds(7'500);
/// Time after the faults are reverted before recovery is checked.
constexpr Duration kSettleTime = std::chrono::seconds(4);
/// Time for the jobs of the recovery check to complete.
constexpr Duration kRecoveryLimit = std::chrono::seconds(25);
/// Each clock runs up to this much fast or slow: just under half of the largest
/// difference between two clocks that TimingSettings::clock_rate_ppm allows.
constexpr uint32_t kClockRatePpm = 450;
constexpr uint32_t kMaxTasks = 4;
/// Probabilities that a caller resubmits while its request is open, sends the
/// id again with another body, or cancels, and that a task takes several
/// seconds.
constexpr double kOverlapProbability = 0.15;
constexpr double kClashProbability = 0.03;
constexpr double kCancelProbability = 0.03;
constexpr double kLongTaskProbability = 0.02;
/// Probability that a task runs until its timeout. It applies only until the
/// faults are reverted.
constexpr double kTimeoutOnlyProbability = 0.002;
/// Probability that the services of a deployment are repeatable.
constexpr double kRepeatableProbability = 0.25;

Duration DrawRunTime(Random& random, bool healed) {
  if (random.Chance(kTimeoutOnlyProbability) && !healed) {
    return std::chrono::minutes(1);
  }
  if (random.Chance(kLongTaskProbability)) {
    return random.Between(std::chrono::seconds(1),
                          std::chrono::milliseconds(3'500));
  }
  return random.Between(std::chrono::milliseconds(50),
                        std::chrono::milliseconds(600));
}

TestbedSettings MakeSettings(const FaultTrialSettings& settings,
                             const bool& healed,
                             Random& random) {
  TestbedSettings made;
  made.world.deployment = settings.deployment;
  made.world.deployment.repeatable = random.Chance(kRepeatableProbability);
  made.world.seed = settings.seed;
  made.world.rules = settings.rules;
  made.world.clock_rate_ppm = kClockRatePpm;
  made.world.hash_bytes = settings.hash_bytes;
  made.world.trace = settings.trace;
  made.world.make_core = settings.make_cores
                             ? settings.make_cores(made.world.deployment)
                             : MakeDaemonCoreFactory(made.world.deployment);
  made.world.run_time = [source = std::make_shared<Random>(random.Next()),
                         &healed](const core::StartExecutionEffect&) {
    return DrawRunTime(*source, healed);
  };
  made.callers.overlap_probability = kOverlapProbability;
  made.callers.clash_probability = kClashProbability;
  made.callers.cancel_probability = kCancelProbability;
  return made;
}

void ScheduleLoad(Testbed& testbed, double jobs_per_second, Random& random) {
  const double mean = 1e6 / jobs_per_second;
  double when = 0;
  while (true) {
    when -= mean * std::log(1.0 - random.Fraction());
    if (when >= static_cast<double>(kLoadTime.count())) {
      return;
    }
    CallerJob job;
    job.tasks = 1 + static_cast<uint32_t>(random.Below(kMaxTasks));
    testbed.world().loop().After(
        Duration(static_cast<int64_t>(when)),
        [&testbed, job] { testbed.callers().Submit(job); });
  }
}

void ScheduleFaults(Testbed& testbed,
                    const FaultTrialSettings& settings,
                    const std::vector<Fault>& faults) {
  for (size_t n = 0; n < faults.size(); ++n) {
    if (settings.all_faults || std::ranges::count(settings.faults, n) > 0) {
      ScheduleFault(testbed, faults[n]);
    }
  }
}

std::set<std::string> ViolatedGuarantees(const FaultTrialResult& result) {
  std::set<std::string> guarantees;
  for (const Violation& violation : result.violations) {
    guarantees.insert(violation.guarantee);
  }
  return guarantees;
}

}  // namespace

absl::StatusOr<FaultTrialResult> RunFaultTrial(
    const FaultTrialSettings& settings) {
  Random random(settings.seed);
  bool healed = false;
  auto made = Testbed::Create(MakeSettings(settings, healed, random));
  if (!made.ok()) {
    return made.status();
  }
  Testbed& testbed = **made;
  FaultTrialResult result;
  result.faults = DrawFaults(settings.deployment, settings.schedule, random);
  if (!testbed.Boot(kBootLimit)) {
    testbed.observer().Report("boot", "the entries did not become ready",
                              testbed.world().loop().now());
  }
  // Load and faults run at the same time; then all faults are reverted.
  ScheduleFaults(testbed, settings, result.faults);
  ScheduleLoad(testbed, settings.jobs_per_second, random);
  testbed.world().Run(kHealAfter);
  testbed.Heal();
  healed = true;
  testbed.world().Run(kSettleTime);
  testbed.CheckRecovery(kRecoveryLimit);
  result.violations = testbed.observer().violations();
  result.jobs = testbed.callers().Counts();
  result.late_starts = testbed.observer().late_starts();
  result.hash = testbed.world().hash();
  result.events = testbed.world().events();
  return result;
}

std::vector<size_t> ShrinkFaults(const FaultTrialSettings& settings,
                                 const FaultTrialResult& result) {
  const std::set<std::string> wanted = ViolatedGuarantees(result);
  const auto still_breaks = [&](const std::vector<size_t>& faults) {
    FaultTrialSettings fewer = settings;
    fewer.all_faults = false;
    fewer.faults = faults;
    fewer.trace = nullptr;
    const auto rerun = RunFaultTrial(fewer);
    return rerun.ok() &&
           std::ranges::any_of(rerun->violations, [&](const Violation& it) {
             return wanted.contains(it.guarantee);
           });
  };
  std::vector<size_t> faults(result.faults.size());
  for (size_t n = 0; n < faults.size(); ++n) {
    faults[n] = n;
  }
  for (size_t n = faults.size(); n-- > 0;) {
    std::vector<size_t> fewer = faults;
    fewer.erase(fewer.begin() + static_cast<int64_t>(n));
    if (still_breaks(fewer)) {
      faults = std::move(fewer);
    }
  }
  return faults;
}

absl::Status DisableRule(std::string_view name, core::RuleSettings& rules) {
  const std::array<std::pair<std::string_view, bool*>, 8> rule_flags = {{
      {"majority", &rules.majority},
      {"token_age", &rules.token_age},
      {"fence_wait", &rules.fence_wait},
      {"settled_steps", &rules.settled_steps},
      {"restart_rule", &rules.restart_rule},
      {"round_trip_age", &rules.round_trip_age},
      {"digest_check", &rules.digest_check},
      {"epoch_check", &rules.epoch_check},
  }};
  const auto it = std::ranges::find(rule_flags, name,
                                    &std::pair<std::string_view, bool*>::first);
  if (it == rule_flags.end()) {
    return absl::InvalidArgumentError(fmt::format("no rule is named {}", name));
  }
  *it->second = false;
  return absl::OkStatus();
}

}  // namespace filbertwick::harness

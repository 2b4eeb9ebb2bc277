#ifndef FILBERTWICK_HARNESS_FAULT_TRIAL_H_
#define FILBERTWICK_HARNESS_FAULT_TRIAL_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/core/settings.h"
#include "filbertwick/harness/caller_pool.h"
#include "filbertwick/harness/fault_schedule.h"
#include "filbertwick/harness/observer.h"

namespace filbertwick::harness {

/// One drawn schedule of load and faults.
struct FaultTrialSettings {
  Deployment deployment;
  uint64_t seed = 1;
  core::RuleSettings rules;
  ScheduleSettings schedule;
  /// Indices of the drawn faults to apply; all when `all_faults` is set.
  bool all_faults = true;
  std::vector<size_t> faults;
  /// Jobs submitted each second while faults come.
  double jobs_per_second = 12;
  /// Hash every byte of every effect.
  bool hash_bytes = false;
  /// Takes one line for each event and effect; empty for none.
  std::function<void(const std::string&)> trace;
  /// Makes the cores of a deployment; RealCores() when empty.
  std::function<CoreFactory(const Deployment&)> make_cores;
};

/// What a schedule showed.
struct FaultTrialResult {
  std::vector<Fault> faults;
  std::vector<Violation> violations;
  CallerCounts jobs;
  uint64_t late_starts = 0;
  uint64_t hash = 0;
  uint64_t events = 0;
};

/// Boots the deployment, applies load and faults, heals and checks. Errors as
/// World::Create().
absl::StatusOr<FaultTrialResult> RunFaultTrial(
    const FaultTrialSettings& settings);

/// The fewest faults found that still break a promise of those that `result`
/// shows broken, by leaving out one after the other.
std::vector<size_t> ShrinkFaults(const FaultTrialSettings& settings,
                                 const FaultTrialResult& result);

/// Switches the rule `name` off, such as `token_age`; InvalidArgument for a
/// name that no rule has.
absl::Status SwitchOff(std::string_view name, core::RuleSettings& rules);

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_FAULT_TRIAL_H_

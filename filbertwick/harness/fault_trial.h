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

/// Parameters of one trial: a random load together with random faults. Equal
/// settings give an equal trial.
struct FaultTrialSettings {
  Deployment deployment;
  uint64_t seed = 1;
  core::RuleSettings rules;
  ScheduleSettings schedule;
  /// Applies all drawn faults; if false, only those listed in `faults`.
  bool all_faults = true;
  /// Indices into the drawn faults.
  std::vector<size_t> faults;
  /// Mean rate of submitted jobs while the load runs.
  double jobs_per_second = 12;
  /// Includes every byte of every effect in FaultTrialResult::hash.
  bool hash_bytes = false;
  /// Receives one line for each event and effect; may be empty.
  std::function<void(const std::string&)> trace;
  /// Creates the factory of the cores under test; MakeDaemonCoreFactory() if
  /// empty.
  std::function<CoreFactory(const Deployment&)> make_cores;
};

/// Outcome of one trial.
struct FaultTrialResult {
  /// All drawn faults, also those that were not applied.
  std::vector<Fault> faults;
  std::vector<Violation> violations;
  CallerCounts jobs;
  /// See Observer::late_starts().
  uint64_t late_starts = 0;
  /// Digest of all effects; equal for equal settings.
  uint64_t hash = 0;
  /// Number of events processed.
  uint64_t events = 0;
};

/// Boots the deployment, applies load and faults, reverts all faults and checks
/// that the deployment recovers. Returns the errors of World::Create();
/// violations are part of the result.
absl::StatusOr<FaultTrialResult> RunFaultTrial(
    const FaultTrialSettings& settings);

/// Reduces a failing trial: removes faults one by one as long as a rerun still
/// violates one of the guarantees violated in `result`. Returns the indices of
/// the remaining faults.
std::vector<size_t> ShrinkFaults(const FaultTrialSettings& settings,
                                 const FaultTrialResult& result);

/// Disables the safety rule `name`, such as `token_age`. Returns
/// InvalidArgument if there is no rule of this name.
absl::Status DisableRule(std::string_view name, core::RuleSettings& rules);

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_FAULT_TRIAL_H_

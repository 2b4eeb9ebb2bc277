#ifndef FILBERTWICK_CORE_POLICY_RETRY_BUDGET_H_
#define FILBERTWICK_CORE_POLICY_RETRY_BUDGET_H_

#include "filbertwick/base/hash.h"
#include "filbertwick/core/policy/policy_settings.h"

namespace filbertwick::core::policy {

/// Token bucket that limits retries to a fixed ratio of first attempts. It
/// starts full, so that some retries are possible at startup and under low
/// load. All operations take constant time. Deterministic.
class RetryBudget {
 public:
  explicit RetryBudget(const RetrySettings& settings);

  /// Adds RetrySettings::retry_ratio for a task that was sent for the first
  /// time.
  void OnFirstAttempt();
  /// Takes one retry from the budget; false when less than one is left.
  bool TryTake();

  /// Retries available now; may be a fraction.
  double available() const { return available_; }

  /// Adds the budget's state to a digest.
  void Hash(Hasher& hasher) const;

 private:
  RetrySettings settings_;
  double available_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_RETRY_BUDGET_H_

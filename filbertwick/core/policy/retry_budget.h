#ifndef FILBERTWICK_CORE_POLICY_RETRY_BUDGET_H_
#define FILBERTWICK_CORE_POLICY_RETRY_BUDGET_H_

#include "filbertwick/base/hash.h"
#include "filbertwick/core/policy/policy_settings.h"

namespace filbertwick::core::policy {

/// Lets retries be at most a share of first sends, with a small stock for the
/// start and for quiet times. Constant time. Deterministic.
class RetryBudget {
 public:
  explicit RetryBudget(const RetrySettings& settings);

  /// A task was sent for the first time.
  void OnFirstAttempt();
  /// Takes one retry; false when the budget has none.
  bool TryTake();

  /// Retries that may be taken now.
  double available() const { return available_; }

  /// Adds the budget's state to a digest.
  void Hash(Hasher& hasher) const;

 private:
  RetrySettings settings_;
  double available_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_RETRY_BUDGET_H_

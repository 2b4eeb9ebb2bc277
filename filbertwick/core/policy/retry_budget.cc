#include "filbertwick/core/policy/retry_budget.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace filbertwick::core::policy {

RetryBudget::RetryBudget(const RetrySettings& settings)
    : settings_(settings), available_(settings.max_saved) {}

void RetryBudget::OnFirstAttempt() {
  available_ =
      std::min(available_ + settings_.retry_ratio, settings_.max_saved);
}

bool RetryBudget::TryTake() {
  if (available_ < 1.0) {
    return false;
  }
  available_ -= 1.0;
  return true;
}

void RetryBudget::Hash(Hasher& hasher) const {
  hasher.Add(std::bit_cast<uint64_t>(available_));
}

}  // namespace filbertwick::core::policy

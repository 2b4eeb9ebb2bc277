#include "filbertwick/core/policy/retry_budget.h"

#include <algorithm>
#include <bit>
#include <cstdint>

namespace filbertwick::core::policy {

RetryBudget::RetryBudget(const RetrySettings& settings)
    : settings_(settings), available_(settings.stock) {}

void RetryBudget::OnFirstSend() {
  available_ = std::min(available_ + settings_.share, settings_.stock);
}

bool RetryBudget::Take() {
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

#include "filbertwick/core/policy/retry_after_estimator.h"

#include <algorithm>
#include <utility>

#include "filbertwick/base/hash.h"

namespace filbertwick::core::policy {
namespace {

constexpr Duration kWindowLength = std::chrono::seconds(1);

}  // namespace

void RetryAfterEstimator::AdvanceWindow(Instant now) {
  if (now - window_start_ < kWindowLength) {
    return;
  }
  previous_ =
      now - window_start_ < 2 * kWindowLength ? current_ : WindowCounts();
  current_ = WindowCounts();
  window_start_ = now;
}

void RetryAfterEstimator::OnJobPlaced(Instant now) {
  AdvanceWindow(now);
  ++current_.placed;
}

std::chrono::seconds RetryAfterEstimator::Refuse(Instant now,
                                                 std::string_view job) {
  AdvanceWindow(now);
  ++current_.refused;
  const uint64_t refused = previous_.refused + current_.refused;
  const uint64_t placed = std::max(previous_.placed + current_.placed, 1u);
  const uint64_t seconds =
      std::clamp<uint64_t>((2 * refused + placed - 1) / placed, 1,
                           static_cast<uint64_t>(kMaxRetryAfter.count()));
  return std::chrono::seconds(1 + Hash64(job) % seconds);
}

}  // namespace filbertwick::core::policy

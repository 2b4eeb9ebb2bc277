#include "filbertwick/core/direct/direct_settings.h"

#include <algorithm>

namespace filbertwick::core::direct {
namespace {

/// Clock error of an upstream that the bound allows for, in percent.
constexpr int kClockErrorPercent = 2;
/// Part of the resend time that the bound may take, in percent: leaves room
/// for messages on their way and slow wake-ups.
constexpr int kResendSharePercent = 85;

}  // namespace

Duration SessionTimes::Bound() const {
  return orphan_after + stop_patience +
         lease * (100 + kClockErrorPercent) / 100;
}

SessionTimes SessionTimes::ScaledToFit(Duration resend,
                                       Duration longest_lease) {
  SessionTimes times;
  times.lease = std::min(times.lease, longest_lease);
  const Duration limit = resend * kResendSharePercent / 100;
  if (times.Bound() > limit) {
    const double scale = static_cast<double>(limit.count()) /
                         static_cast<double>(times.Bound().count());
    const auto shorten = [scale](Duration& time) {
      time = Duration(
          static_cast<int64_t>(static_cast<double>(time.count()) * scale));
    };
    shorten(times.orphan_after);
    shorten(times.stop_patience);
    shorten(times.lease);
  }
  return times;
}

}  // namespace filbertwick::core::direct

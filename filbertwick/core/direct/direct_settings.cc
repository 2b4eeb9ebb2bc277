#include "filbertwick/core/direct/direct_settings.h"

#include <algorithm>

namespace filbertwick::core::direct {
namespace {

/// Clock rate error of an upstream that OrphanBound() allows for, in percent.
constexpr int kMaxClockErrorPercent = 2;
/// Part of the resend time that OrphanBound() may take, in percent; the rest is
/// for the delay of messages and slow wake-ups.
constexpr int kMaxBoundPercent = 85;
/// Part of the resend time that is left for the delay of messages and slow
/// wake-ups when jobs are handed over.
constexpr Duration kHandoverReserve = std::chrono::milliseconds(20);
/// A shorter lease would expire with a single lost message.
constexpr Duration kMinHandoverLease = std::chrono::milliseconds(80);
constexpr int kKeepAlivesPerLease = 4;

}  // namespace

Duration SessionTimes::OrphanBound() const {
  return session_timeout + stop_confirm_timeout +
         lease * (100 + kMaxClockErrorPercent) / 100;
}

SessionTimes SessionTimes::ScaledToFit(Duration resend, Duration max_lease) {
  SessionTimes times;
  times.lease = std::min(times.lease, max_lease);
  const Duration limit = resend * kMaxBoundPercent / 100;
  if (times.OrphanBound() > limit) {
    const double scale = static_cast<double>(limit.count()) /
                         static_cast<double>(times.OrphanBound().count());
    const auto shorten = [scale](Duration& time) {
      time = Duration(
          static_cast<int64_t>(static_cast<double>(time.count()) * scale));
    };
    shorten(times.session_timeout);
    shorten(times.stop_confirm_timeout);
    shorten(times.lease);
  }
  return times;
}

HandoverTimes HandoverTimes::ScaledToFit(Duration resend,
                                         const SessionTimes& session) {
  HandoverTimes times;
  times.lease =
      std::min(times.lease, resend - session.OrphanBound() - kHandoverReserve);
  if (times.lease < kMinHandoverLease) {
    times.lease = Duration(0);
  }
  times.keep_alive =
      std::min(times.keep_alive, times.lease / kKeepAlivesPerLease);
  return times;
}

}  // namespace filbertwick::core::direct

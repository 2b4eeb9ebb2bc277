#ifndef FILBERTWICK_PLATFORM_DRAIN_MONITOR_H_
#define FILBERTWICK_PLATFORM_DRAIN_MONITOR_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <utility>

#include "filbertwick/base/time.h"

namespace filbertwick::platform {

/// Waits, once a graceful stop has begun, until what is open has ended or the
/// grace is nearly over. Belongs to the context's thread.
class DrainMonitor {
 public:
  /// Whether nothing is open any more, this long after the stop began.
  using DrainedHook = std::function<bool(Duration age)>;

  /// `drained` is asked again and again, `stopped` is called once.
  DrainMonitor(boost::asio::io_context& context,
               Duration grace,
               DrainedHook drained,
               std::function<void()> stopped)
      : timer_(context),
        limit_(grace - kExitReserve),
        drained_(std::move(drained)),
        stopped_(std::move(stopped)) {}

  /// Begins the stop; nothing when it has begun.
  void Begin() {
    if (!begun_at_) {
      begun_at_ = MonotonicClock::now();
      CheckDrained();
    }
  }
  bool begun() const { return begun_at_.has_value(); }

 private:
  /// Kept free of the grace for the exit itself.
  static constexpr Duration kExitReserve = std::chrono::milliseconds(700);
  /// Pause between two looks at what is still open.
  static constexpr Duration kCheckInterval = std::chrono::milliseconds(50);

  void CheckDrained() {
    const Duration age = MonotonicClock::now() - *begun_at_;
    if (drained_(age) || age >= limit_) {
      stopped_();
      return;
    }
    timer_.expires_after(kCheckInterval);
    timer_.async_wait([this](boost::system::error_code ec) {
      if (!ec) {
        CheckDrained();
      }
    });
  }

  boost::asio::steady_timer timer_;
  const Duration limit_;
  const DrainedHook drained_;
  const std::function<void()> stopped_;
  std::optional<Instant> begun_at_;
};

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_DRAIN_MONITOR_H_

#ifndef FILBERTWICK_PLATFORM_DRAIN_MONITOR_H_
#define FILBERTWICK_PLATFORM_DRAIN_MONITOR_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <utility>

#include "filbertwick/base/time.h"

namespace filbertwick::platform {

/// Waits during a graceful stop until all open work has ended or the grace
/// period is nearly over. Not thread-safe: all calls run on the context's
/// thread.
class DrainMonitor {
 public:
  /// Returns true when no work is open. `age` is the time since the stop began.
  using DrainedHook = std::function<bool(Duration age)>;

  /// `grace` is the time from the start of the stop until the process is
  /// killed. `drained` is polled; `stopped` is called once.
  DrainMonitor(boost::asio::io_context& context,
               Duration grace,
               DrainedHook drained,
               std::function<void()> stopped)
      : timer_(context),
        limit_(grace - kExitReserve),
        drained_(std::move(drained)),
        stopped_(std::move(stopped)) {}

  /// Begins the stop; no effect when it has begun already.
  void Begin() {
    if (!begun_at_) {
      begun_at_ = MonotonicClock::now();
      CheckDrained();
    }
  }
  bool begun() const { return begun_at_.has_value(); }

 private:
  /// Part of the grace period that is reserved for the exit of the process.
  static constexpr Duration kExitReserve = std::chrono::milliseconds(700);
  /// Interval at which `drained_` is polled.
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

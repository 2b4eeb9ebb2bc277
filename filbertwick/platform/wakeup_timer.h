#ifndef FILBERTWICK_PLATFORM_WAKEUP_TIMER_H_
#define FILBERTWICK_PLATFORM_WAKEUP_TIMER_H_

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <utility>

#include "filbertwick/base/time.h"

namespace filbertwick::platform {

/// Timer whose due time changes often. Not thread-safe: calls and the hook run
/// on the context's thread. The hook is not called after destruction.
class WakeupTimer {
 public:
  WakeupTimer(boost::asio::io_context& context, std::function<void()> hook)
      : timer_(context), hook_(std::move(hook)) {}

  /// Calls the hook at `due`; Instant::max() means never. A timer that is armed
  /// for an earlier instant is not rearmed: one unnecessary wake-up is cheaper
  /// than rearming it with every change.
  void Set(Instant due) {
    due_ = due;
    if (due < armed_for_) {
      Arm(due);
    }
  }

 private:
  /// Longest wait of the underlying timer. MonotonicClock counts the time for
  /// which the machine is suspended, but the clock of the timer does not, so a
  /// single long wait would end too late after a suspension.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(500);

  void Arm(Instant due) {
    const Instant now = MonotonicClock::now();
    const Duration wait =
        std::clamp<Duration>(due - now, Duration(0), kMaxWait);
    armed_for_ = now + wait;
    timer_.expires_after(wait);
    timer_.async_wait([this](boost::system::error_code ec) {
      if (!ec) {
        OnTimer();
      }
    });
  }

  void OnTimer() {
    armed_for_ = Instant::max();
    if (MonotonicClock::now() >= due_) {
      hook_();
    } else if (due_ != Instant::max()) {
      Arm(due_);
    }
  }

  boost::asio::steady_timer timer_;
  std::function<void()> hook_;
  Instant due_ = Instant::max();
  Instant armed_for_ = Instant::max();
};

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_WAKEUP_TIMER_H_

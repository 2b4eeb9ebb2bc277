#ifndef BENCH_POLICY_EVENT_LOOP_H_
#define BENCH_POLICY_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include <algorithm>

#include "filbertwick/base/time.h"

namespace filbertwick::bench {

/// Calls functions in virtual time; calls due at the same time run in the order
/// in which they were posted.
class EventLoop {
 public:
  using Callback = std::function<void()>;

  /// Current virtual time.
  Instant now() const { return now_; }

  /// Schedules `callback` for `at`, or for the current time if `at` has passed.
  void Post(Instant at, Callback callback) {
    events_.push_back({std::max(at, now_), ++posted_, std::move(callback)});
    std::ranges::push_heap(events_, Later);
  }

  /// Runs until no event is left or the next event is due after `end`.
  void RunUntil(Instant end) {
    while (!events_.empty() && events_.front().at <= end) {
      std::ranges::pop_heap(events_, Later);
      const Event event = std::move(events_.back());
      events_.pop_back();
      now_ = event.at;
      event.callback();
    }
  }

 private:
  struct Event {
    Instant at;
    uint64_t number = 0;
    Callback callback;
  };

  static bool Later(const Event& a, const Event& b) {
    return std::pair(a.at, a.number) > std::pair(b.at, b.number);
  }

  std::vector<Event> events_;
  Instant now_;
  uint64_t posted_ = 0;
};

}  // namespace filbertwick::bench

#endif  // BENCH_POLICY_EVENT_LOOP_H_

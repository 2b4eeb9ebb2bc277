#ifndef FILBERTWICK_HARNESS_EVENT_LOOP_H_
#define FILBERTWICK_HARNESS_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "filbertwick/base/time.h"

namespace filbertwick::harness {

/// An event loop in virtual time. Actions due at the same time run in the order
/// in which they were scheduled. Not thread-safe.
class EventLoop {
 public:
  using Action = std::function<void()>;

  /// Current virtual time, counted from the start of the simulation.
  Duration now() const { return now_; }
  /// Schedules `action` at virtual time `when`, or at the current time if
  /// `when` has passed.
  void At(Duration when, Action action);
  /// Schedules `action` after `delay`.
  void After(Duration delay, Action action) {
    At(now_ + delay, std::move(action));
  }
  /// Runs all actions due at or before `end`, including those scheduled
  /// meanwhile, and advances virtual time to `end`.
  void RunUntil(Duration end);
  /// Number of actions run so far.
  uint64_t actions() const { return actions_; }

 private:
  struct ScheduledAction {
    Duration when;
    uint64_t sequence = 0;
    Action action;
  };
  static bool RunsLater(const ScheduledAction& a, const ScheduledAction& b) {
    return a.when != b.when ? a.when > b.when : a.sequence > b.sequence;
  }

  Duration now_{0};
  uint64_t next_sequence_ = 0;
  uint64_t actions_ = 0;
  /// Binary heap with the next action to run at the front.
  std::vector<ScheduledAction> queue_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_EVENT_LOOP_H_

#ifndef FILBERTWICK_HARNESS_EVENT_LOOP_H_
#define FILBERTWICK_HARNESS_EVENT_LOOP_H_

#include <cstdint>
#include <functional>
#include <vector>

#include "filbertwick/base/time.h"

namespace filbertwick::harness {

/// One queue of actions in virtual time. Actions due at one time run in the
/// order in which they were added.
class EventLoop {
 public:
  using Action = std::function<void()>;

  /// Virtual time since the start.
  Duration now() const { return now_; }
  /// Runs `action` at `when`, or now when that has passed.
  void At(Duration when, Action action);
  /// Runs `action` after `delay`.
  void After(Duration delay, Action action) {
    At(now_ + delay, std::move(action));
  }
  /// Runs all actions due until `end`; the time is `end` afterwards.
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
  /// A heap with the earliest item in front.
  std::vector<ScheduledAction> queue_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_EVENT_LOOP_H_

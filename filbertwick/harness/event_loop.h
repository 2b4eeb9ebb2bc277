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
  struct Item {
    Duration when;
    uint64_t order = 0;
    Action action;
  };
  static bool Later(const Item& a, const Item& b) {
    return a.when != b.when ? a.when > b.when : a.order > b.order;
  }

  Duration now_{0};
  uint64_t order_ = 0;
  uint64_t actions_ = 0;
  /// A heap with the earliest item in front.
  std::vector<Item> items_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_EVENT_LOOP_H_

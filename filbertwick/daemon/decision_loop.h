#ifndef FILBERTWICK_DAEMON_DECISION_LOOP_H_
#define FILBERTWICK_DAEMON_DECISION_LOOP_H_

#include <atomic>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <thread>
#include <variant>

#include "filbertwick/base/bounded_queue.h"
#include "filbertwick/core/core.h"

namespace filbertwick::daemon {

/// Something that looks at the core on its thread.
using CoreCallback = std::function<void(const core::Core&, const core::Now&)>;

/// What other threads send to the core.
using DecisionInput = std::variant<core::Event, CoreCallback>;

/// Takes the effects of some events, on the core's thread. The core may be
/// asked for addresses.
using EffectsHook = std::function<void(const core::Core&, core::Effects&)>;

/// Told on the core's thread when its readiness changes.
using ReadyHook = std::function<void(bool ready)>;

/// Runs a core on a thread of its own: feeds it what other threads send and
/// wakes it when it asks for it.
class DecisionLoop {
 public:
  /// A loop that does not run yet; at most `capacity` inputs wait.
  DecisionLoop(
      std::unique_ptr<core::Core> core,
      size_t capacity,
      EffectsHook effects,
      ReadyHook ready_changed = [](bool) {});
  /// Ends the thread.
  ~DecisionLoop();
  DecisionLoop(const DecisionLoop&) = delete;
  DecisionLoop& operator=(const DecisionLoop&) = delete;

  /// Adds an input, or returns false and leaves it when there is no room.
  bool TryPushFrom(DecisionInput& input);
  /// Adds an input and waits for room; false when the loop has ended.
  bool Push(DecisionInput input);
  /// Starts the thread.
  void Start();
  /// Refuses all later input; the thread ends soon. What waits is dropped.
  void Close();
  /// Waits until the thread has ended.
  void Join();

  /// What the core says of its readiness, as of a moment ago.
  bool ready() const { return ready_.load(std::memory_order_relaxed); }

 private:
  void Run();
  void HandleInputs(std::deque<DecisionInput> inputs);
  void HandleInput(DecisionInput& input);
  void HandleDueWakeup();
  void FlushEffects();
  void UpdateReadiness();

  std::unique_ptr<core::Core> core_;
  BoundedQueue<DecisionInput> inputs_;
  EffectsHook effects_hook_;
  ReadyHook ready_hook_;
  core::Effects effects_;
  std::atomic<bool> ready_ = false;
  Instant next_readiness_update_;
  std::thread thread_;
};

}  // namespace filbertwick::daemon

#endif  // FILBERTWICK_DAEMON_DECISION_LOOP_H_

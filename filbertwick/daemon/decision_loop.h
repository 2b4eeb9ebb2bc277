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

/// Reads the core's state on the decision thread.
using CoreCallback = std::function<void(const core::Core&, const core::Now&)>;

/// An event for the core to handle, or a callback that reads its state.
using DecisionInput = std::variant<core::Event, CoreCallback>;

/// Receives the effects of one or more events on the decision thread. The hook
/// looks up the addresses of peers in the core.
using EffectsHook = std::function<void(const core::Core&, core::Effects&)>;

/// Called on the decision thread when the core's readiness changes.
using ReadyHook = std::function<void(bool ready)>;

/// Runs a core on a thread of its own, the decision thread: handles the inputs
/// of other threads in order, and sends a WakeupEvent when the core's
/// NextWakeup() is reached.
class DecisionLoop {
 public:
  /// Creates a loop that does not run until Start(). At most `capacity` inputs
  /// wait in its queue.
  DecisionLoop(
      std::unique_ptr<core::Core> core,
      size_t capacity,
      EffectsHook effects,
      ReadyHook ready_changed = [](bool) {});
  /// Closes the queue and waits until the thread has ended.
  ~DecisionLoop();
  DecisionLoop(const DecisionLoop&) = delete;
  DecisionLoop& operator=(const DecisionLoop&) = delete;

  /// Queues an input. Returns false and leaves `input` unchanged when the queue
  /// is full or closed.
  bool TryPushFrom(DecisionInput& input);
  /// Queues an input, waiting while the queue is full. Returns false when the
  /// queue is closed.
  bool Push(DecisionInput input);
  /// Starts the thread.
  void Start();
  /// Rejects all later inputs and makes the thread end. Queued inputs may be
  /// dropped.
  void Close();
  /// Waits until the thread has ended.
  void Join();

  /// The core's readiness as of the last update; up to half a second old when
  /// there is no input.
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

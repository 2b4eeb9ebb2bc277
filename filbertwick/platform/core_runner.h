#ifndef FILBERTWICK_PLATFORM_CORE_RUNNER_H_
#define FILBERTWICK_PLATFORM_CORE_RUNNER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <utility>

#include "filbertwick/base/time.h"
#include "filbertwick/platform/wakeup_timer.h"

namespace filbertwick::platform {

/// Runs a deterministic core on an io_context: passes events to the core,
/// performs the effects that it returns, and wakes it at the instant that it
/// asks for. Not thread-safe: all calls run on the context's thread.
template <typename Core, typename Effects>
class CoreRunner {
 public:
  /// Performs one effect.
  using PerformHook = std::function<void(typename Effects::value_type&)>;

  CoreRunner(boost::asio::io_context& context,
             std::unique_ptr<Core> core,
             PerformHook perform)
      : core_(std::move(core)),
        perform_(std::move(perform)),
        timer_(context, [this] {
          Run([this](Instant now, Effects& out) { core_->OnWakeup(now, out); });
        }) {}

  /// Calls `step(now, effects)`, performs the effects that it appended and
  /// updates the wake-up.
  template <typename Step>
  void Run(Step step) {
    Effects effects;
    step(MonotonicClock::now(), effects);
    for (auto& effect : effects) {
      perform_(effect);
    }
    UpdateWakeup();
  }
  /// Sets the timer to the core's next wake-up. Must be called after every call
  /// of the core outside Run() that may change its next wake-up.
  void UpdateWakeup() { timer_.Set(core_->NextWakeup()); }

  Core& core() { return *core_; }
  const Core& core() const { return *core_; }

 private:
  const std::unique_ptr<Core> core_;
  const PerformHook perform_;
  WakeupTimer timer_;
};

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_CORE_RUNNER_H_

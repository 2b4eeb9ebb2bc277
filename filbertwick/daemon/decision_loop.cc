#include "filbertwick/daemon/decision_loop.h"

#include <algorithm>
#include <utility>

namespace filbertwick::daemon {
namespace {

/// Number of collected effects from which they are passed on before the next
/// input is handled, so that early effects do not wait for the whole batch of
/// inputs.
constexpr size_t kEffectFlushThreshold = 64;
/// Longest wait for input. Without input, the core's readiness is updated at
/// this interval.
constexpr Duration kMaxWait = std::chrono::milliseconds(500);
/// Shortest time between two updates of the core's readiness.
constexpr Duration kReadinessInterval = std::chrono::milliseconds(20);

core::Now ReadClocks() {
  return {MonotonicClock::now(), WallTime::Now()};
}

}  // namespace

DecisionLoop::DecisionLoop(std::unique_ptr<core::Core> core,
                           size_t capacity,
                           EffectsHook effects,
                           ReadyHook ready_changed)
    : core_(std::move(core)),
      inputs_(capacity),
      effects_hook_(std::move(effects)),
      ready_hook_(std::move(ready_changed)) {}

DecisionLoop::~DecisionLoop() {
  Close();
  Join();
}

void DecisionLoop::Start() {
  thread_ = std::thread([this] { Run(); });
}

bool DecisionLoop::TryPushFrom(DecisionInput& input) {
  return inputs_.TryPushFrom(input);
}

bool DecisionLoop::Push(DecisionInput input) {
  return inputs_.Push(std::move(input));
}

void DecisionLoop::Close() {
  inputs_.Close();
}

void DecisionLoop::Join() {
  if (thread_.joinable()) {
    thread_.join();
  }
}

void DecisionLoop::Run() {
  while (!inputs_.closed()) {
    const Instant latest_wakeup = MonotonicClock::now() + kMaxWait;
    HandleInputs(inputs_.PopAll(std::min(core_->NextWakeup(), latest_wakeup)));
    HandleDueWakeup();
    FlushEffects();
    UpdateReadiness();
  }
}

void DecisionLoop::HandleInputs(std::deque<DecisionInput> inputs) {
  for (DecisionInput& input : inputs) {
    HandleInput(input);
    if (effects_.size() >= kEffectFlushThreshold) {
      FlushEffects();
    }
  }
}

void DecisionLoop::HandleInput(DecisionInput& input) {
  const core::Now now = ReadClocks();
  if (auto* event = std::get_if<core::Event>(&input)) {
    core_->Handle(now, std::move(*event), effects_);
  } else {
    std::get<CoreCallback>(input)(*core_, now);
  }
}

void DecisionLoop::HandleDueWakeup() {
  const core::Now now = ReadClocks();
  if (core_->NextWakeup() <= now.monotonic) {
    core_->Handle(now, core::WakeupEvent{}, effects_);
  }
}

void DecisionLoop::FlushEffects() {
  if (!effects_.empty()) {
    effects_hook_(*core_, effects_);
    effects_.clear();
  }
}

void DecisionLoop::UpdateReadiness() {
  const core::Now now = ReadClocks();
  if (now.monotonic >= next_readiness_update_) {
    const bool ready = core_->Status(now).ready;
    if (ready_.exchange(ready, std::memory_order_relaxed) != ready) {
      ready_hook_(ready);
    }
    next_readiness_update_ = now.monotonic + kReadinessInterval;
  }
}

}  // namespace filbertwick::daemon

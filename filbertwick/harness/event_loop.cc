#include "filbertwick/harness/event_loop.h"

#include <algorithm>
#include <utility>

namespace filbertwick::harness {

void EventLoop::At(Duration when, Action action) {
  queue_.push_back({std::max(when, now_), next_sequence_++, std::move(action)});
  std::ranges::push_heap(queue_, RunsLater);
}

void EventLoop::RunUntil(Duration end) {
  while (!queue_.empty() && queue_.front().when <= end) {
    std::ranges::pop_heap(queue_, RunsLater);
    ScheduledAction scheduled = std::move(queue_.back());
    queue_.pop_back();
    now_ = scheduled.when;
    ++actions_;
    scheduled.action();
  }
  now_ = std::max(now_, end);
}

}  // namespace filbertwick::harness

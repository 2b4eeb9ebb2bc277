#include "filbertwick/harness/event_loop.h"

#include <algorithm>
#include <utility>

namespace filbertwick::harness {

void EventLoop::At(Duration when, Action action) {
  items_.push_back({std::max(when, now_), order_++, std::move(action)});
  std::ranges::push_heap(items_, Later);
}

void EventLoop::RunUntil(Duration end) {
  while (!items_.empty() && items_.front().when <= end) {
    std::ranges::pop_heap(items_, Later);
    Item item = std::move(items_.back());
    items_.pop_back();
    now_ = item.when;
    ++actions_;
    item.action();
  }
  now_ = std::max(now_, end);
}

}  // namespace filbertwick::harness

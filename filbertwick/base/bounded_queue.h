#ifndef FILBERTWICK_BASE_BOUNDED_QUEUE_H_
#define FILBERTWICK_BASE_BOUNDED_QUEUE_H_

#include <algorithm>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>

#include "filbertwick/base/time.h"

namespace filbertwick {

/// A bounded FIFO queue between threads: any number of producers, one consumer.
/// It never drops an item. When it is full, TryPush() and TryPushFrom() return
/// false, and Push() waits.
template <typename T>
class BoundedQueue {
 public:
  /// Creates a queue that holds at most `capacity` items.
  explicit BoundedQueue(size_t capacity) : capacity_(capacity) {}

  /// Adds an item; returns false when the queue is full or closed.
  bool TryPush(T item) { return TryPushFrom(item); }

  /// Adds an item; returns false and leaves `item` unchanged when the queue is
  /// full or closed.
  bool TryPushFrom(T& item) {
    {
      std::lock_guard lock(mutex_);
      if (closed_ || items_.size() >= capacity_) {
        return false;
      }
      items_.push_back(std::move(item));
    }
    not_empty_.notify_one();
    return true;
  }

  /// Adds an item, waiting while the queue is full; returns false when it is
  /// closed.
  bool Push(T item) {
    {
      std::unique_lock lock(mutex_);
      not_full_.wait(lock,
                     [&] { return closed_ || items_.size() < capacity_; });
      if (closed_) {
        return false;
      }
      items_.push_back(std::move(item));
    }
    not_empty_.notify_one();
    return true;
  }

  /// Removes and returns all items, waiting until `deadline` for the first.
  /// Empty on timeout, or when the queue is closed and has no items.
  std::deque<T> PopAll(Instant deadline) {
    std::deque<T> items;
    {
      std::unique_lock lock(mutex_);
      const auto wait = std::max(deadline - MonotonicClock::now(), Duration(0));
      not_empty_.wait_for(lock, wait,
                          [&] { return closed_ || !items_.empty(); });
      items.swap(items_);
    }
    not_full_.notify_all();
    return items;
  }

  /// Rejects all later items and wakes all waiting threads.
  void Close() {
    {
      std::lock_guard lock(mutex_);
      closed_ = true;
    }
    not_empty_.notify_all();
    not_full_.notify_all();
  }

  /// True after Close().
  bool closed() const {
    std::lock_guard lock(mutex_);
    return closed_;
  }

 private:
  const size_t capacity_;
  mutable std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  std::deque<T> items_;
  bool closed_ = false;
};

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_BOUNDED_QUEUE_H_

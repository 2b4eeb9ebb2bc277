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

/// Joins two threads of a process: any number of writers, one reader. Never
/// grows past its capacity and never drops; a full ring tells the writer.
template <typename T>
class BoundedQueue {
 public:
  /// A ring that holds at most `capacity` items.
  explicit BoundedQueue(size_t capacity) : capacity_(capacity) {}

  /// Adds an item, or returns false when the ring is full or closed.
  bool TryPush(T item) { return TryPushFrom(item); }

  /// Adds an item, or returns false and leaves it as it is when the ring is
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

  /// Adds an item, waiting for room; false when the ring is closed.
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

  /// Takes all items, waiting until `deadline` for the first; empty on timeout.
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

  /// Refuses all later items and wakes both sides.
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

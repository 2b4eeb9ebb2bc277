#ifndef FILBERTWICK_CORE_POLICY_READ_SCHEDULE_H_
#define FILBERTWICK_CORE_POLICY_READ_SCHEDULE_H_

#include <algorithm>
#include <chrono>

#include "filbertwick/base/time.h"

namespace filbertwick::core::policy {

/// Times of the reads by which an instance follows a stream of the store.
struct ReadTimes {
  /// How long a read waits at the store for a new record.
  Duration poll_wait{0};
  /// Time beyond its wait after which an unanswered read is overdue. Another
  /// one begins beside it. Longer than a slow store takes for an answer.
  Duration overdue_after = std::chrono::milliseconds(400);
  /// Time between the begins of two reads while none is answered. The store
  /// limits the reads of all instances together.
  Duration lost_interval = std::chrono::seconds(1);
  /// Delay after a failed read; doubles with each failure up to the maximum.
  Duration min_retry_delay = std::chrono::milliseconds(100);
  Duration max_retry_delay = std::chrono::milliseconds(800);
  /// Longest time that a slow store takes for an answer.
  Duration answer_time = std::chrono::milliseconds(400);

  /// Returns the longest time from the moment at which the store, or a path to
  /// it, works again until a read that began after it is answered, whatever
  /// happened to the reads before.
  constexpr Duration WorstDelay() const {
    return std::max(
               {poll_wait + overdue_after, lost_interval, max_retry_delay}) +
           answer_time;
  }

  /// Returns times with which an instance is up to date within `bound` after an
  /// outage of the store, with a reserve for the delay of its own event loop. A
  /// read waits for `longest_wait` at most.
  static constexpr ReadTimes Within(Duration bound, Duration longest_wait) {
    constexpr Duration kReserve = std::chrono::milliseconds(100);
    constexpr Duration kShortestWait = std::chrono::milliseconds(100);
    ReadTimes times;
    times.poll_wait =
        std::clamp(bound - times.overdue_after - times.answer_time - kReserve,
                   kShortestWait, std::max(longest_wait, kShortestWait));
    return times;
  }
};

/// Decides when an instance reads a stream again, and how long the read waits.
/// A connection may go silent for good, so a read that is not answered says
/// nothing about the store: once it is overdue, short reads on new connections
/// are made at a steady interval until one is answered.
class ReadSchedule {
 public:
  explicit ReadSchedule(const ReadTimes& times)
      : times_(times), retry_delay_(times.min_retry_delay) {}

  /// Returns the wait of a read that begins at `now`. After a read that was
  /// answered early, the next one is shorter by as much: the stream is known to
  /// be complete only as of the time at which the former was sent.
  Duration Wait(Instant now) const {
    if (is_lost_) {
      return Duration(0);
    }
    const Duration age =
        std::clamp(now - complete_at_, Duration(0), times_.poll_wait);
    return times_.poll_wait - age;
  }
  /// Records that a read with this wait begins.
  void OnBegun(Instant now, Duration wait) {
    next_read_ =
        now + (is_lost_ ? times_.lost_interval : wait + times_.overdue_after);
  }
  /// Records that the newest read is not answered in time.
  void OnOverdue() {
    is_lost_ = true;
    needs_new_connection_ = true;
  }
  /// Records that a read has failed.
  void OnFailed(Instant now) {
    is_lost_ = true;
    next_read_ = std::min(next_read_, now + retry_delay_);
    retry_delay_ = std::min(retry_delay_ * 2, times_.max_retry_delay);
  }
  /// Records an answer that shows the stream as it was at `complete_at` or
  /// later.
  void OnAnswered(Instant complete_at) {
    is_lost_ = false;
    needs_new_connection_ = false;
    retry_delay_ = times_.min_retry_delay;
    complete_at_ = std::max(complete_at_, complete_at);
  }

  /// When the next read begins unless one is answered before.
  Instant next_read() const { return next_read_; }
  /// No read has been answered since one failed or was overdue.
  bool is_lost() const { return is_lost_; }
  /// Connections that are open may be silent.
  bool needs_new_connection() const { return needs_new_connection_; }

 private:
  const ReadTimes times_;
  Instant next_read_;
  Instant complete_at_;
  Duration retry_delay_;
  bool is_lost_ = false;
  bool needs_new_connection_ = false;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_READ_SCHEDULE_H_

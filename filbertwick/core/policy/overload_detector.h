#ifndef FILBERTWICK_CORE_POLICY_OVERLOAD_DETECTOR_H_
#define FILBERTWICK_CORE_POLICY_OVERLOAD_DETECTOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/time.h"

namespace filbertwick::core::policy {

/// Measures how late an instance is because of itself: it has too little
/// processor time, or was paused. The load for which it was made is
/// `uneven-entries` of the replay.
///
/// The evidence is the lateness of its timers, and the round-trip times of its
/// messages while some are left unread. A single slow round trip may be the
/// fault of the peer; when the fastest of several peers is slow, the time was
/// lost here. A full link also makes all round trips slow, but leaves no
/// message unread. It is no own delay: whoever waits longer for answers there
/// sends more, and keeps the link full.
///
/// Pure: it receives the time with each call, in any order of calls but with
/// times that do not decrease. Not thread-safe.
class OverloadDetector {
 public:
  /// A delay from which on an instance is overloaded: its messages are resent,
  /// because their answers are not read in time, and jobs of 60 ms end late.
  static constexpr Duration kOverloadDelay = std::chrono::milliseconds(50);
  /// A delay at which an instance has no capacity to spare: a job waits for its
  /// entry three times, which at this delay takes a short job's whole allowance
  /// of 60 ms.
  static constexpr Duration kSaturationDelay = std::chrono::milliseconds(20);
  /// An overload lasts as long as there are delays from this on. Shorter ones
  /// are normal: the wake-up of a busy machine, a batch of messages.
  static constexpr Duration kNormalDelay = std::chrono::milliseconds(10);
  /// An overload ends when no delay above kNormalDelay was seen for this long.
  static constexpr Duration kRecoveryTime = std::chrono::milliseconds(300);
  /// How long OwnDelay() remembers a delay: longer than the timeouts that it
  /// extends.
  static constexpr Duration kMemory = std::chrono::seconds(1);

  /// Work that was due at `due` is handled at `now`.
  void OnTimer(Instant now, Instant due);
  /// `messages` were read at once. `more_left` tells that the reading stopped
  /// at its limit while there may have been more.
  void OnMessagesRead(Instant now, size_t messages, bool more_left);
  /// A message that was sent at `sent_at` was answered by `peer`.
  void OnRoundTrip(Instant now, Instant sent_at, std::string_view peer);
  /// `waiting` jobs of at most `limit` wait now.
  void OnWaitingJobs(size_t waiting, size_t limit);

  /// Returns the longest delay of the last kMemory, or zero when none was above
  /// kNormalDelay. Timeouts that wait for others are extended by it.
  Duration OwnDelay(Instant now) const;
  /// Returns the delay that lasts: what arrives now is handled about so much
  /// later. It is the lower one of two intervals of 100 ms, so that a single
  /// pause, which is over when it is noticed, is none. Zero when it is not
  /// above kNormalDelay.
  Duration PresentDelay(Instant now) const;
  /// Returns true from a delay of kOverloadDelay on until there was none above
  /// kNormalDelay for kRecoveryTime.
  bool IsOverloaded(Instant now) const { return now < overloaded_until_; }
  /// Returns the share of its capacity that the instance seems to use, from 0
  /// for idle to 1 for saturated. It reaches 1 at kSaturationDelay, when
  /// messages are left unread for lack of time, or when the queue of jobs is
  /// full.
  double Pressure(Instant now) const;

 private:
  /// What was seen in one interval of kBucketLength.
  struct Bucket {
    /// Number of the interval, counted from the clock's origin.
    int64_t number = -1;
    Duration lateness{0};
    /// Shortest round trip, and the first peers that had one.
    Duration round_trip = Duration::max();
    std::vector<std::string> peers;
    size_t most_messages = 0;
    bool more_left = false;
    bool has_timers = false;
  };

  static constexpr Duration kBucketLength = std::chrono::milliseconds(100);
  static constexpr size_t kBuckets = kMemory / kBucketLength;
  /// Peers whose round trips must agree.
  static constexpr size_t kPeersToAgree = 3;
  /// Messages read at once from which on reading lags behind; half of what is
  /// read at most.
  static constexpr size_t kManyMessages = 32;

  Bucket& BucketAt(Instant now);
  /// Returns the bucket of the interval `ago` intervals before that of `now`;
  /// null when nothing was seen in it.
  const Bucket* Find(Instant now, int64_t ago) const;
  Duration DelayIn(const Bucket& bucket) const;
  void UpdateOverload(Instant now, Duration delay);

  std::array<Bucket, kBuckets> buckets_;
  /// Round trip without any delay here; max() before the first one.
  Duration usual_round_trip_ = Duration::max();
  Instant overloaded_until_;
  double waiting_share_ = 0;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_OVERLOAD_DETECTOR_H_

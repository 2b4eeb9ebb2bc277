#include "filbertwick/core/policy/overload_detector.h"

#include <algorithm>

namespace filbertwick::core::policy {
namespace {

/// Share by which the usual round trip approaches the fastest one of an
/// interval that is slower; follows a longer path within some ten seconds.
constexpr int kUsualRoundTripDivisor = 100;

}  // namespace

OverloadDetector::Bucket& OverloadDetector::BucketAt(Instant now) {
  const int64_t number = now.time_since_epoch() / kBucketLength;
  Bucket& bucket = buckets_[static_cast<size_t>(number) % kBuckets];
  if (bucket.number == number) {
    return bucket;
  }
  // A new interval: what the round trips of the last one tell is complete.
  if (const Bucket* last = Find(now, 1);
      last != nullptr && last->peers.size() >= kPeersToAgree) {
    UpdateOverload(now, DelayIn(*last));
    if (last->round_trip > usual_round_trip_) {
      usual_round_trip_ +=
          (last->round_trip - usual_round_trip_) / kUsualRoundTripDivisor;
    }
  }
  bucket = Bucket();
  bucket.number = number;
  return bucket;
}

const OverloadDetector::Bucket* OverloadDetector::Find(Instant now,
                                                       int64_t ago) const {
  const int64_t number = now.time_since_epoch() / kBucketLength - ago;
  if (number < 0) {
    return nullptr;
  }
  const Bucket& bucket = buckets_[static_cast<size_t>(number) % kBuckets];
  return bucket.number == number ? &bucket : nullptr;
}

Duration OverloadDetector::DelayIn(const Bucket& bucket) const {
  // A slow round trip without unread messages was slow on the way.
  const bool was_late_to_read =
      bucket.more_left && bucket.peers.size() >= kPeersToAgree;
  const Duration delay =
      was_late_to_read
          ? std::max(bucket.lateness, bucket.round_trip - usual_round_trip_)
          : bucket.lateness;
  return delay > kNormalDelay ? delay : Duration(0);
}

void OverloadDetector::UpdateOverload(Instant now, Duration delay) {
  if (delay >= kOverloadDelay || (delay > kNormalDelay && IsOverloaded(now))) {
    overloaded_until_ = now + kRecoveryTime;
  }
}

void OverloadDetector::OnTimer(Instant now, Instant due) {
  Bucket& bucket = BucketAt(now);
  const Duration lateness = std::max(Duration(0), now - due);
  bucket.lateness = std::max(bucket.lateness, lateness);
  bucket.has_timers = true;
  UpdateOverload(now, lateness);
}

void OverloadDetector::OnMessagesRead(Instant now,
                                      size_t messages,
                                      bool more_left) {
  Bucket& bucket = BucketAt(now);
  bucket.most_messages = std::max(bucket.most_messages, messages);
  bucket.more_left |= more_left;
}

void OverloadDetector::OnRoundTrip(Instant now,
                                   Instant sent_at,
                                   std::string_view peer) {
  const Duration round_trip = std::max(Duration(0), now - sent_at);
  usual_round_trip_ = std::min(usual_round_trip_, round_trip);
  Bucket& bucket = BucketAt(now);
  bucket.round_trip = std::min(bucket.round_trip, round_trip);
  if (bucket.peers.size() < kPeersToAgree &&
      std::ranges::find(bucket.peers, peer) == bucket.peers.end()) {
    bucket.peers.emplace_back(peer);
  }
}

void OverloadDetector::OnWaitingJobs(size_t waiting, size_t limit) {
  waiting_share_ = limit == 0 ? 0
                              : std::min(1.0, static_cast<double>(waiting) /
                                                  static_cast<double>(limit));
}

Duration OverloadDetector::OwnDelay(Instant now) const {
  Duration longest(0);
  for (int64_t ago = 0; ago < static_cast<int64_t>(kBuckets); ++ago) {
    if (const Bucket* bucket = Find(now, ago)) {
      longest = std::max(longest, DelayIn(*bucket));
    }
  }
  return longest;
}

Duration OverloadDetector::PresentDelay(Instant now) const {
  const Bucket* present = Find(now, 0);
  // Early in an interval, little of it was seen.
  const int64_t newest = present != nullptr && present->has_timers ? 0 : 1;
  const Bucket* last = Find(now, newest);
  const Bucket* before = Find(now, newest + 1);
  return last == nullptr || before == nullptr
             ? Duration(0)
             : std::min(DelayIn(*last), DelayIn(*before));
}

double OverloadDetector::Pressure(Instant now) const {
  double pressure = waiting_share_;
  for (const int64_t ago : {0, 1}) {
    const Bucket* bucket = Find(now, ago);
    if (bucket == nullptr) {
      continue;
    }
    pressure =
        std::max({pressure,
                  static_cast<double>(DelayIn(*bucket).count()) /
                      static_cast<double>(kSaturationDelay.count()),
                  static_cast<double>(bucket->most_messages) / kManyMessages,
                  bucket->more_left ? 1.0 : 0.0});
  }
  return std::min(pressure, 1.0);
}

}  // namespace filbertwick::core::policy

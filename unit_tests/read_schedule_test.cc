#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <deque>

#include "filbertwick/core/policy/read_schedule.h"

namespace {

using filbertwick::Duration;
using filbertwick::Instant;
using filbertwick::core::policy::ReadSchedule;
using filbertwick::core::policy::ReadTimes;

constexpr Duration kMilli = std::chrono::milliseconds(1);
/// Time after an outage within which an instance has to be up to date, as the
/// users' platform sets it, and the waits of an entry and of a sidecar.
constexpr Duration kRecoveryBound = 3000 * kMilli;
constexpr Duration kEntryWait = 1500 * kMilli;
constexpr Duration kSidecarWait = 3000 * kMilli;
/// Timeout of a call to the store beyond its wait.
constexpr Duration kCallTimeout = 1500 * kMilli;

/// What the store, or the path to it, does with reads during an outage.
enum class Outage {
  /// No request is answered, and none that is open then, not even afterwards.
  kSilent,
  /// Each read is refused at once.
  kRefused,
  /// Open reads break, and new ones are refused at once.
  kReset,
  /// Open reads are never answered; new ones work.
  kSilentConnections,
};

/// A follower that reads as its schedule says, in virtual time, from a store
/// with one outage.
class Follower {
 public:
  Follower(const ReadTimes& times,
           Outage kind,
           Instant outage_begin,
           Instant outage_end)
      : schedule_(times),
        kind_(kind),
        outage_begin_(outage_begin),
        outage_end_(outage_end) {}

  /// Returns when a read is first answered that is sent or held after `since`.
  Instant FirstAnswerAfter(Instant since) {
    Begin(Instant(kMilli));
    while (true) {
      // Either a read ends or the next one begins.
      const auto end = std::ranges::min_element(
          reads_, {}, [](const Read& it) { return it.ends_at; });
      if (end != reads_.end() && end->ends_at <= schedule_.next_read()) {
        const Read read = *end;
        reads_.erase(end);
        if (!read.is_answered) {
          schedule_.OnFailed(read.ends_at);
          continue;
        }
        if (read.ends_at >= since) {
          return read.ends_at;
        }
        reads_.clear();
        schedule_.OnAnswered(read.ends_at);
        Begin(read.ends_at);
        continue;
      }
      const Instant now = schedule_.next_read();
      schedule_.OnOverdue();
      Begin(now);
    }
  }

  size_t reads_begun() const { return reads_begun_; }

 private:
  struct Read {
    Instant ends_at;
    bool is_answered = false;
  };

  bool IsOut(Instant at) const {
    return at >= outage_begin_ && at < outage_end_;
  }

  void Begin(Instant now) {
    ++reads_begun_;
    const Duration wait = schedule_.Wait(now);
    schedule_.OnBegun(now, wait);
    const Instant held_until = now + wait;
    // The outage begins while the store holds the read.
    const bool is_hit = now < outage_begin_ && held_until >= outage_begin_;
    Read read = {held_until, true};
    switch (kind_) {
      case Outage::kSilent:
        if (IsOut(now) || is_hit) {
          read = {held_until + kCallTimeout, false};
        }
        break;
      case Outage::kSilentConnections:
        if (is_hit) {
          read = {held_until + kCallTimeout, false};
        }
        break;
      case Outage::kRefused:
        if (IsOut(now)) {
          read = {now + kMilli, false};
        } else if (is_hit) {
          read = {held_until, false};
        }
        break;
      case Outage::kReset:
        if (IsOut(now)) {
          read = {now + kMilli, false};
        } else if (is_hit) {
          read = {outage_begin_, false};
        }
        break;
    }
    reads_.push_back(read);
  }

  ReadSchedule schedule_;
  const Outage kind_;
  const Instant outage_begin_;
  const Instant outage_end_;
  std::deque<Read> reads_;
  size_t reads_begun_ = 0;
};

constexpr std::array kOutages = {Outage::kSilent, Outage::kRefused,
                                 Outage::kReset, Outage::kSilentConnections};

/// Longest outages of the users' deployments: of the store, and of single
/// machines.
constexpr Duration kLongestOutage = 9000 * kMilli;

}  // namespace

// A read that was never answered lived for its wait and the timeout of a call,
// 3.0 s for an entry, and the next one began up to 0.8 s later. After an outage
// a changed configuration came into force later than the bound allows. The sum
// of all that can delay the next read is checked here, for both roles.
Test(read_schedule, adds_up_to_less_than_the_recovery_bound) {
  for (const Duration wait : {kEntryWait, kSidecarWait}) {
    const ReadTimes times = ReadTimes::Within(kRecoveryBound, wait);
    cr_assert_leq(times.WorstDelay().count(), kRecoveryBound.count());
    cr_assert_leq(times.poll_wait.count(), wait.count());
  }
  // Entries need no shorter wait for it.
  cr_assert_eq(ReadTimes::Within(kRecoveryBound, kEntryWait).poll_wait.count(),
               kEntryWait.count());
  // A shorter bound is kept as well, as far as the store's own times allow it.
  const ReadTimes tight = ReadTimes::Within(2000 * kMilli, kSidecarWait);
  cr_assert_leq(tight.WorstDelay().count(), (2000 * kMilli).count());
}

// For every phase of the reads at which an outage begins, and every length of
// it, a read is answered within the bound after its end.
Test(read_schedule, is_up_to_date_in_time_after_every_outage) {
  for (const Duration wait : {kEntryWait, kSidecarWait}) {
    const ReadTimes times = ReadTimes::Within(kRecoveryBound, wait);
    const Duration limit = kRecoveryBound - times.answer_time;
    for (const Outage kind : kOutages) {
      for (Duration begin = 4000 * kMilli; begin < 4000 * kMilli + wait;
           begin += 10 * kMilli) {
        for (Duration length = kMilli; length <= kLongestOutage;
             length += 37 * kMilli) {
          const Instant end = Instant(begin) + length;
          Follower follower(times, kind, Instant(begin), end);
          const Duration delay = follower.FirstAnswerAfter(end) - end;
          cr_assert_leq(delay.count(), limit.count(),
                        "kind %d, begin %ld us, length %ld us: %ld us late",
                        static_cast<int>(kind), begin.count(), length.count(),
                        delay.count());
        }
      }
    }
  }
}

// While no read is answered, an instance makes about one a second: 1,900 of
// them stay below the limit of the store.
Test(read_schedule, limits_the_reads_while_the_store_is_lost) {
  const ReadTimes times = ReadTimes::Within(kRecoveryBound, kEntryWait);
  for (const Outage kind : {Outage::kSilent, Outage::kRefused}) {
    const Instant begin(5000 * kMilli);
    Follower follower(times, kind, begin, begin + 60'000 * kMilli);
    (void)follower.FirstAnswerAfter(begin + 60'000 * kMilli);
    cr_assert_leq(follower.reads_begun(), 90, "%lu reads",
                  follower.reads_begun());
  }
}

// After a read that was answered early the stream is known to be complete as of
// its sending only. The next read is shorter, so that this is never long ago.
Test(read_schedule, reads_sooner_after_an_early_answer) {
  const ReadTimes times = ReadTimes::Within(kRecoveryBound, kEntryWait);
  ReadSchedule schedule(times);
  const Instant sent(10'000 * kMilli);
  schedule.OnBegun(sent, times.poll_wait);
  schedule.OnAnswered(sent);
  cr_assert_eq(schedule.Wait(sent + 500 * kMilli).count(),
               (1000 * kMilli).count());
  schedule.OnAnswered(sent + 1500 * kMilli);
  cr_assert_eq(schedule.Wait(sent + 1500 * kMilli).count(),
               times.poll_wait.count());
}

// Open connections may be silent, so the reads after an overdue one do not use
// them. A refused read shows that its connection works.
Test(read_schedule, uses_new_connections_after_an_overdue_read) {
  ReadSchedule schedule(ReadTimes::Within(kRecoveryBound, kEntryWait));
  const Instant now(10'000 * kMilli);
  schedule.OnBegun(now, schedule.Wait(now));
  schedule.OnFailed(now);
  cr_assert_not(schedule.needs_new_connection());
  schedule.OnOverdue();
  cr_assert(schedule.needs_new_connection());
  schedule.OnAnswered(now);
  cr_assert_not(schedule.needs_new_connection());
}

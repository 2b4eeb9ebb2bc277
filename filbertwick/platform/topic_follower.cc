#include "filbertwick/platform/topic_follower.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <iterator>
#include <utility>

namespace filbertwick::platform {

class TopicFollower::Impl
    : public std::enable_shared_from_this<TopicFollower::Impl> {
 public:
  Impl(boost::asio::io_context& context,
       StoreClient& store,
       std::string topic,
       const core::policy::ReadTimes& times,
       TopicFollowerHooks hooks)
      : timer_(context),
        store_(store),
        topic_(std::move(topic)),
        hooks_(std::move(hooks)),
        schedule_(times) {}

  /// Begins a read. Those that are not answered yet go on beside it; the first
  /// answer counts.
  void BeginRead() {
    Attempt attempt;
    attempt.generation = generation_;
    attempt.sent_at = MonotonicClock::now();
    attempt.use = schedule_.needs_new_connection() ? http::ConnectionUse::kNew
                                                   : http::ConnectionUse::kAny;
    if (following_) {
      attempt.wait = schedule_.Wait(attempt.sent_at);
      Read(attempt);
    } else {
      ReadNewest(std::make_shared<Pages>(), attempt);
    }
    schedule_.OnBegun(attempt.sent_at, attempt.wait);
    ScheduleNextRead();
  }

 private:
  /// A read, or the reads of all pages of the newest records.
  struct Attempt {
    /// `generation_` at its begin. An answer ends the attempts of its
    /// generation.
    uint64_t generation = 0;
    Instant sent_at;
    Duration wait{0};
    http::ConnectionUse use = http::ConnectionUse::kAny;
  };
  /// The newest records of the pages read so far.
  struct Pages {
    std::vector<StoreRecord> records;
    /// Offset after the newest record, as of the first page. Records that were
    /// written between two pages may be missing from the pages; reading on from
    /// here delivers them.
    uint64_t end = 0;
  };

  void ReadNewest(const std::shared_ptr<Pages>& pages, const Attempt& attempt) {
    store_.ReadNewest(
        topic_, pages->records.empty() ? "" : pages->records.back().key,
        [weak = weak_from_this(), pages, attempt](auto page) {
          const auto self = weak.lock();
          if (self && self->IsOpen(attempt, page.status())) {
            self->OnNewest(pages, attempt, *std::move(page));
          }
        },
        attempt.use);
  }

  void OnNewest(const std::shared_ptr<Pages>& pages,
                const Attempt& attempt,
                NewestPage page) {
    if (pages->records.empty()) {
      pages->end = page.end;
    }
    std::ranges::move(page.records, std::back_inserter(pages->records));
    if (page.has_more && !page.records.empty()) {
      ReadNewest(pages, attempt);
      schedule_.OnBegun(MonotonicClock::now(), Duration(0));
      ScheduleNextRead();
      return;
    }
    OnAnswered(attempt.sent_at);
    following_ = true;
    position_ = pages->end;
    hooks_.newest(pages->records, position_);
    hooks_.call_ended(absl::OkStatus(), attempt.sent_at);
    BeginRead();
  }

  void Read(const Attempt& attempt) {
    store_.Read(
        topic_, position_, attempt.wait,
        [weak = weak_from_this(), attempt](auto batch) {
          const auto self = weak.lock();
          if (self && self->IsOpen(attempt, batch.status())) {
            self->OnRead(attempt, *std::move(batch));
          }
        },
        attempt.use);
  }

  void OnRead(const Attempt& attempt, const StoreBatch& batch) {
    // A read that was held for its whole wait shows that there was no record
    // until then. Any other answer may have lain in the socket since the read
    // was sent, while this process did not run.
    const Instant held_until = attempt.sent_at + attempt.wait;
    const bool was_held = !batch.position_lost && batch.next == position_ &&
                          MonotonicClock::now() >= held_until;
    const Instant complete_at = was_held ? held_until : attempt.sent_at;
    OnAnswered(complete_at);
    if (batch.position_lost) {
      following_ = false;
      BeginRead();
      return;
    }
    if (batch.next > position_) {
      position_ = batch.next;
      hooks_.read(batch.records, position_);
    }
    hooks_.call_ended(absl::OkStatus(), complete_at);
    BeginRead();
  }

  /// Returns true when an attempt that is not ended yet was answered. Handles
  /// its failure.
  bool IsOpen(const Attempt& attempt, const absl::Status& status) {
    if (attempt.generation != generation_) {
      return false;
    }
    if (!status.ok()) {
      OnFailed(status);
    }
    return status.ok();
  }

  /// Ends the attempts of the present generation, and reports a store that is
  /// reachable again.
  void OnAnswered(Instant complete_at) {
    ++generation_;
    schedule_.OnAnswered(complete_at);
    if (std::exchange(store_lost_, false)) {
      hooks_.store_changed(absl::OkStatus());
    }
  }

  void OnFailed(const absl::Status& status) {
    hooks_.call_ended(status, {});
    ReportLost(status);
    schedule_.OnFailed(MonotonicClock::now());
    ScheduleNextRead();
  }

  void ReportLost(const absl::Status& status) {
    if (!std::exchange(store_lost_, true)) {
      hooks_.store_changed(status);
    }
  }

  void ScheduleNextRead() {
    timer_.expires_at(std::chrono::steady_clock::time_point(
        schedule_.next_read().time_since_epoch()));
    timer_.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
      const auto self = weak.lock();
      if (!ec && self) {
        self->OnTimer();
      }
    });
  }

  void OnTimer() {
    // The timer may have expired before it was set again.
    if (MonotonicClock::now() < schedule_.next_read()) {
      return;
    }
    if (!schedule_.is_lost()) {
      ReportLost(absl::DeadlineExceededError("a read is overdue"));
    }
    schedule_.OnOverdue();
    BeginRead();
  }

  boost::asio::steady_timer timer_;
  StoreClient& store_;
  const std::string topic_;
  const TopicFollowerHooks hooks_;
  core::policy::ReadSchedule schedule_;
  uint64_t generation_ = 0;
  /// Offset of the next read.
  uint64_t position_ = 0;
  /// True when the newest records were read and reads go on from `position_`.
  bool following_ = false;
  /// True when a call has failed or was overdue and none was answered since.
  bool store_lost_ = false;
};

TopicFollower::TopicFollower(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
TopicFollower::~TopicFollower() = default;

std::unique_ptr<TopicFollower> TopicFollower::Create(
    boost::asio::io_context& context,
    StoreClient& store,
    std::string topic,
    const core::policy::ReadTimes& times,
    TopicFollowerHooks hooks) {
  auto impl = std::make_shared<Impl>(context, store, std::move(topic), times,
                                     std::move(hooks));
  impl->BeginRead();
  return std::unique_ptr<TopicFollower>(new TopicFollower(std::move(impl)));
}

}  // namespace filbertwick::platform

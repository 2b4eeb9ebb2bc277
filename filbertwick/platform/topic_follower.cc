#include "filbertwick/platform/topic_follower.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <iterator>
#include <utility>

namespace filbertwick::platform {
namespace {

/// Delay after a failed call. Doubles per failure up to the maximum, because
/// the store limits the call rate of all instances together.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(100);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(800);

}  // namespace

class TopicFollower::Impl
    : public std::enable_shared_from_this<TopicFollower::Impl> {
 public:
  Impl(boost::asio::io_context& context,
       StoreClient& store,
       std::string topic,
       Duration poll,
       TopicFollowerHooks hooks)
      : timer_(context),
        store_(store),
        topic_(std::move(topic)),
        poll_(poll),
        hooks_(std::move(hooks)) {}

  void ReadNewest() {
    store_.ReadNewest(topic_,
                      newest_records_.empty() ? "" : newest_records_.back().key,
                      [weak = weak_from_this()](auto page) {
                        if (const auto self = weak.lock()) {
                          self->OnNewest(std::move(page));
                        }
                      });
  }

 private:
  void OnNewest(absl::StatusOr<NewestPage> page) {
    if (!page.ok()) {
      newest_records_.clear();
      RetryLater(page.status());
      return;
    }
    // Records that were written between two pages may be missing from the
    // pages. Reading on from the end of the first page delivers them.
    if (newest_records_.empty()) {
      position_ = page->end;
    }
    std::ranges::move(page->records, std::back_inserter(newest_records_));
    if (page->has_more && !page->records.empty()) {
      ReadNewest();
      return;
    }
    OnCallSucceeded();
    following_ = true;
    hooks_.newest(newest_records_, position_);
    newest_records_.clear();
    hooks_.call_ended(absl::OkStatus());
    Read();
  }

  void Read() {
    store_.Read(topic_, position_, poll_,
                [weak = weak_from_this()](auto batch) {
                  if (const auto self = weak.lock()) {
                    self->OnRead(std::move(batch));
                  }
                });
  }

  void OnRead(absl::StatusOr<StoreBatch> batch) {
    if (!batch.ok()) {
      RetryLater(batch.status());
      return;
    }
    OnCallSucceeded();
    if (batch->position_lost) {
      following_ = false;
      ReadNewest();
      return;
    }
    if (batch->next > position_) {
      position_ = batch->next;
      hooks_.read(batch->records, position_);
    }
    hooks_.call_ended(absl::OkStatus());
    Read();
  }

  /// Resets the retry delay and reports a store that is reachable again.
  void OnCallSucceeded() {
    retry_delay_ = kMinRetryDelay;
    if (std::exchange(store_lost_, false)) {
      hooks_.store_changed(absl::OkStatus());
    }
  }

  /// Reports the first failure and repeats the call after the retry delay.
  void RetryLater(const absl::Status& status) {
    hooks_.call_ended(status);
    if (!std::exchange(store_lost_, true)) {
      hooks_.store_changed(status);
    }
    timer_.expires_after(retry_delay_);
    retry_delay_ = std::min(retry_delay_ * 2, kMaxRetryDelay);
    timer_.async_wait([weak = weak_from_this()](boost::system::error_code ec) {
      const auto self = weak.lock();
      if (!ec && self) {
        self->following_ ? self->Read() : self->ReadNewest();
      }
    });
  }

  boost::asio::steady_timer timer_;
  StoreClient& store_;
  const std::string topic_;
  const Duration poll_;
  const TopicFollowerHooks hooks_;
  /// Newest records of the pages read so far; empty while no pages are read.
  std::vector<StoreRecord> newest_records_;
  /// Offset of the next read.
  uint64_t position_ = 0;
  /// True when the newest records were read and reads go on from `position_`.
  bool following_ = false;
  /// True when the last call failed.
  bool store_lost_ = false;
  Duration retry_delay_ = kMinRetryDelay;
};

TopicFollower::TopicFollower(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
TopicFollower::~TopicFollower() = default;

std::unique_ptr<TopicFollower> TopicFollower::Create(
    boost::asio::io_context& context,
    StoreClient& store,
    std::string topic,
    Duration poll,
    TopicFollowerHooks hooks) {
  auto impl = std::make_shared<Impl>(context, store, std::move(topic), poll,
                                     std::move(hooks));
  impl->ReadNewest();
  return std::unique_ptr<TopicFollower>(new TopicFollower(std::move(impl)));
}

}  // namespace filbertwick::platform

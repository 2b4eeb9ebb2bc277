#ifndef FILBERTWICK_PLATFORM_TOPIC_FOLLOWER_H_
#define FILBERTWICK_PLATFORM_TOPIC_FOLLOWER_H_

#include <absl/status/status.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/policy/read_schedule.h"
#include "filbertwick/platform/store_client.h"

namespace filbertwick::platform {

/// Callbacks of a TopicFollower, called on the context's thread.
struct TopicFollowerHooks {
  /// Called with the newest record of each key as of the offset `end`. Keys
  /// that are not among them have been deleted.
  std::function<void(std::span<const StoreRecord> records, uint64_t end)>
      newest;
  /// Called with the records that follow, in order. `end` is the offset of the
  /// next read, past any unreadable records.
  std::function<void(std::span<const StoreRecord> records, uint64_t end)> read;
  /// Called with the status of the failed call when the store has become
  /// unreachable, and with OK when it is reachable again.
  std::function<void(const absl::Status&)> store_changed;
  /// Called with the status of every call, after its records were passed on.
  /// After a success, the topic was complete at `complete_at` at the least.
  std::function<void(const absl::Status&, Instant complete_at)> call_ended =
      [](const absl::Status&, Instant) {};
};

/// Follows a keyed topic: reads the newest record of each key, then all further
/// records with long polls. Starts over with the newest records when the store
/// no longer retains the next offset.
class TopicFollower {
 public:
  /// Starts to read; `times` tells how long a read waits at the store for a new
  /// record, and when another one begins. `store` must outlive the object.
  static std::unique_ptr<TopicFollower> Create(
      boost::asio::io_context& context,
      StoreClient& store,
      std::string topic,
      const core::policy::ReadTimes& times,
      TopicFollowerHooks hooks);
  ~TopicFollower();

 private:
  class Impl;
  explicit TopicFollower(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_TOPIC_FOLLOWER_H_

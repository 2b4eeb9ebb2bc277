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
#include "filbertwick/platform/store_client.h"

namespace filbertwick::platform {

/// What a tail tells its owner.
struct TopicFollowerHooks {
  /// All newest records, as of `end`; keys that are not among them are gone.
  std::function<void(std::span<const StoreRecord> records, uint64_t end)>
      newest;
  /// Records in order after those; `end` is the offset after them.
  std::function<void(std::span<const StoreRecord> records, uint64_t end)> read;
  /// The store was lost or regained.
  std::function<void(const absl::Status&)> store_changed;
};

/// Follows a keyed topic: the newest record of each key first, then every
/// further one by long polls. Starts over when its position is not held any
/// more.
class TopicFollower {
 public:
  /// Starts at once; `poll` is how long a read waits at the store.
  static std::unique_ptr<TopicFollower> Create(boost::asio::io_context& context,
                                               StoreClient& store,
                                               std::string topic,
                                               Duration poll,
                                               TopicFollowerHooks hooks);
  ~TopicFollower();

 private:
  class Impl;
  explicit TopicFollower(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_TOPIC_FOLLOWER_H_

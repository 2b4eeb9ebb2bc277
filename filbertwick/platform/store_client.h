#ifndef FILBERTWICK_PLATFORM_STORE_CLIENT_H_
#define FILBERTWICK_PLATFORM_STORE_CLIENT_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/http/client.h"
#include "filbertwick/platform/platform_settings.h"

namespace filbertwick::platform {

/// A record of a keyed topic. The newest record of a key gives its value.
struct StoreRecord {
  uint64_t offset = 0;
  std::string key;
  /// Unset when the record deletes the key.
  std::optional<std::string> value;
};

/// One page of the newest records of all keys, in order of key.
struct NewestPage {
  std::vector<StoreRecord> records;
  /// True when further pages follow.
  bool has_more = false;
  /// Offset after the newest record of the partition.
  uint64_t end = 0;
};

/// Records read in order of offset.
struct StoreBatch {
  std::vector<StoreRecord> records;
  /// Offset after the last record read, including records that were skipped as
  /// unreadable.
  uint64_t next = 0;
  /// True when the store does not hold the requested offset: it has dropped the
  /// records there, or its topic ends before it. The reader must start over
  /// with StoreClient::ReadNewest().
  bool position_lost = false;
};

/// A partition of a keyed topic. Converts from the name of a topic that has one
/// partition.
struct TopicPartition {
  TopicPartition(std::string_view topic_name, uint32_t partition = 0)
      : topic(topic_name), number(partition) {}
  TopicPartition(const char* topic_name) : topic(topic_name) {}
  TopicPartition(const std::string& topic_name) : topic(topic_name) {}

  std::string_view topic;
  uint32_t number = 0;
};

/// Client of the platform's store for keyed topics. A failed call is reported
/// to its hook and not retried. Not thread-safe: calls and hooks run on the
/// context's thread.
class StoreClient {
 public:
  using NewestHook = std::function<void(absl::StatusOr<NewestPage>)>;
  /// Receives the newest value of a key, nullopt when the key has none.
  using ValueHook =
      std::function<void(absl::StatusOr<std::optional<std::string>>)>;
  using ReadHook = std::function<void(absl::StatusOr<StoreBatch>)>;
  using AppendHook = std::function<void(absl::Status)>;

  /// Timeout of a call, without the time of a long poll. The store answers
  /// within ten milliseconds, or within half a second while it is slow.
  static constexpr Duration kCallTimeout = std::chrono::milliseconds(1500);

  static std::unique_ptr<StoreClient> Create(
      boost::asio::io_context& context,
      const Address& address,
      Duration call_timeout = kCallTimeout);
  ~StoreClient();

  /// Reads one page of the newest records. `after` is the last key of the
  /// previous page, empty for the first page.
  void ReadNewest(const TopicPartition& partition,
                  std::string_view after,
                  NewestHook done,
                  http::ConnectionUse use = http::ConnectionUse::kAny);
  /// Reads the newest value of one key, which must not be empty.
  void ReadValue(const TopicPartition& partition,
                 std::string_view key,
                 ValueHook done);
  /// Reads from the offset `from`; waits up to `wait` for the first record.
  void Read(const TopicPartition& partition,
            uint64_t from,
            Duration wait,
            ReadHook done,
            http::ConnectionUse use = http::ConnectionUse::kAny);
  /// Appends one record; without a value it deletes the key. A failed append
  /// may have been written nevertheless.
  void Append(const TopicPartition& partition,
              std::string_view key,
              std::string_view value,
              AppendHook done);

 private:
  class Impl;
  explicit StoreClient(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_STORE_CLIENT_H_

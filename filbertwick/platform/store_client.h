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
#include "filbertwick/platform/platform_settings.h"

namespace filbertwick::platform {

/// A record of a keyed topic.
struct StoreRecord {
  uint64_t offset = 0;
  std::string key;
  /// Nothing when the record drops the key.
  std::optional<std::string> value;
};

/// A page of the newest records of all keys.
struct NewestPage {
  std::vector<StoreRecord> records;
  bool has_more = false;
  /// Offset after the newest record of the partition.
  uint64_t end = 0;
};

/// Records read in order.
struct StoreBatch {
  std::vector<StoreRecord> records;
  /// Offset after the last record read, readable or not.
  uint64_t next = 0;
  /// The position asked for is not held: read the newest records instead.
  bool position_lost = false;
};

/// Calls of the platform's store for its keyed topics, all in partition 0. A
/// call that fails is reported, not repeated. Not thread-safe: calls and hooks
/// belong to the context's thread.
class StoreClient {
 public:
  using NewestHook = std::function<void(absl::StatusOr<NewestPage>)>;
  using ReadHook = std::function<void(absl::StatusOr<StoreBatch>)>;
  using AppendHook = std::function<void(absl::Status)>;

  static std::unique_ptr<StoreClient> Create(boost::asio::io_context& context,
                                             const Address& address);
  ~StoreClient();

  /// Reads one page of newest records; `after` is the last key of the page
  /// before, empty for the first.
  void ReadNewest(std::string_view topic,
                  std::string_view after,
                  NewestHook done);
  /// Reads from an offset, waiting up to `wait` for the first record.
  void Read(std::string_view topic,
            uint64_t from,
            Duration wait,
            ReadHook done);
  /// Appends one record. A failure may have been carried out all the same.
  void Append(std::string_view topic,
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

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

/// Client of the platform's store for keyed topics, always partition 0. A
/// failed call is reported to its hook and not retried. Not thread-safe: calls
/// and hooks run on the context's thread.
class StoreClient {
 public:
  using NewestHook = std::function<void(absl::StatusOr<NewestPage>)>;
  using ReadHook = std::function<void(absl::StatusOr<StoreBatch>)>;
  using AppendHook = std::function<void(absl::Status)>;

  static std::unique_ptr<StoreClient> Create(boost::asio::io_context& context,
                                             const Address& address);
  ~StoreClient();

  /// Reads one page of the newest records. `after` is the last key of the
  /// previous page, empty for the first page.
  void ReadNewest(std::string_view topic,
                  std::string_view after,
                  NewestHook done);
  /// Reads from the offset `from`; waits up to `wait` for the first record.
  void Read(std::string_view topic,
            uint64_t from,
            Duration wait,
            ReadHook done);
  /// Appends one record. A failed append may have been written nevertheless.
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

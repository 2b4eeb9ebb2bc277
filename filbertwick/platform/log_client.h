#ifndef FILBERTWICK_PLATFORM_LOG_CLIENT_H_
#define FILBERTWICK_PLATFORM_LOG_CLIENT_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/wire/control_record.h"

namespace filbertwick::platform {

/// Where the platform's log service is.
struct LogClientSettings {
  std::string host = "127.0.0.1";
  uint16_t port = 0;
  /// Name of the stream on the service.
  std::string stream = "control";
  /// A read waits at the service this long for new records.
  Duration poll = std::chrono::seconds(2);
  /// An append or read that takes longer is given up.
  Duration timeout = std::chrono::seconds(5);
  /// Pause after a failed read, doubled up to retry_max, with jitter.
  Duration retry_min = std::chrono::milliseconds(100);
  Duration retry_max = std::chrono::seconds(2);
  /// Seed of the jitter.
  uint64_t seed = 0;
};

/// Records read in one piece.
struct LogBatch {
  wire::LogOffset first = 0;
  std::vector<wire::ControlRecord> records;
  /// Offset after the newest record of the stream.
  wire::LogOffset head = 0;
};

/// What the client tells its owner, on the thread of its io_context.
struct LogClientHooks {
  /// Records in order; an empty batch says that the head was reached. After
  /// trimming past the read position the batch starts at the newest Checkpoint
  /// that the stream still holds.
  std::function<void(LogBatch)> read;
  /// A read failed; called again while it lasts.
  std::function<void(const absl::Status&)> read_failed;
  /// An append of these changes failed or its answer was lost.
  std::function<void(std::span<const ChangeId>)> append_failed;
};

/// Tails the control stream and appends to it. Appends that wait together go
/// in one request (group append). A record is sent once; who needs it retried
/// appends it again with the same change id.
class LogClient {
 public:
  /// A client that starts to read at `from`.
  static std::unique_ptr<LogClient> Create(boost::asio::io_context& context,
                                           LogClientSettings settings,
                                           wire::LogOffset from,
                                           LogClientHooks hooks);
  ~LogClient();

  /// Appends a record; may be called on any thread.
  void Append(wire::ControlRecord record);

 private:
  class Impl;
  explicit LogClient(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_LOG_CLIENT_H_

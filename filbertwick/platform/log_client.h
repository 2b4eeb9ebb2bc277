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

/// Address of the platform's log service, and the client's timing.
struct LogClientSettings {
  std::string host = "127.0.0.1";
  uint16_t port = 0;
  /// Name of the stream on the service.
  std::string stream = "control";
  /// Longest time that a read waits at the service for new records.
  Duration poll = std::chrono::seconds(2);
  /// An append fails after this time, a read after `poll` plus this time.
  Duration timeout = std::chrono::seconds(5);
  /// Delay after the first failed read. Doubles per failure up to `retry_max`;
  /// jitter shortens it by up to half.
  Duration retry_min = std::chrono::milliseconds(100);
  Duration retry_max = std::chrono::seconds(2);
  /// Seed of the jitter.
  uint64_t seed = 0;
};

/// Consecutive records of the stream.
struct LogBatch {
  /// Offset of the first record.
  wire::LogOffset first = 0;
  std::vector<wire::ControlRecord> records;
  /// Offset after the newest record of the stream.
  wire::LogOffset head = 0;
};

/// Callbacks of a LogClient, called on the thread of its io_context.
struct LogClientHooks {
  /// Called with the next records in order. An empty batch means that the head
  /// of the stream was reached. When the stream was trimmed past the read
  /// position, the batch starts at the newest valid Checkpoint that the stream
  /// still holds.
  std::function<void(LogBatch)> read;
  /// Called for every failed read.
  std::function<void(const absl::Status&)> read_failed;
  /// Called when an append of these changes failed, or its answer was lost and
  /// the records may have been written nevertheless.
  std::function<void(std::span<const ChangeId>)> append_failed;
};

/// Reads the control stream with long polls and appends records to it. Records
/// that wait for a running append are sent together in the next request (group
/// commit). The client sends each record once: a caller that needs a retry
/// appends it again under the same change id, which the readers apply once.
class LogClient {
 public:
  /// Creates a client, which starts to read at the offset `from`.
  static std::unique_ptr<LogClient> Create(boost::asio::io_context& context,
                                           LogClientSettings settings,
                                           wire::LogOffset from,
                                           LogClientHooks hooks);
  ~LogClient();

  /// Appends a record. May be called on any thread.
  void Append(wire::ControlRecord record);

 private:
  class Impl;
  explicit LogClient(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_LOG_CLIENT_H_

#ifndef FILBERTWICK_STANDIN_LOG_SERVICE_H_
#define FILBERTWICK_STANDIN_LOG_SERVICE_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "filbertwick/base/time.h"

namespace filbertwick::standin {

/// Configuration of a stand-in log service.
struct LogServiceSettings {
  std::string host = "127.0.0.1";
  /// TCP port to listen on; 0 picks a free port.
  uint16_t port = 0;
  /// Maximum number of records in the response to one read.
  size_t max_records_per_read = 1'000;
};

/// Stand-in for the platform's append-only log in tests, benchmarks and the
/// demo; not for production. It holds its streams in memory and speaks the
/// protocol of platform/log_protocol.h: an append returns the offset of its
/// first record, and a read at the head of a stream is a long poll that ends
/// with the next append or with its timeout.
///
/// Faults may be injected from any thread through the methods below, or from
/// another process:
///   PUT /v1/switches?down=1&delay_ms=5&lose_answers=1
///   PUT /v1/switches?stream=S&trim_before=N
class LogService {
 public:
  /// Starts to listen. Returns Unavailable if the port cannot be opened.
  static absl::StatusOr<std::unique_ptr<LogService>> Create(
      boost::asio::io_context& context,
      const LogServiceSettings& settings);
  ~LogService();

  /// TCP port that the server listens on.
  uint16_t port() const;

  /// While down, the service closes the connection of every request to a stream
  /// without a response, and the request has no effect.
  void SetDown(bool down);
  /// Delays every request to a stream by `delay` before it takes effect.
  void SetDelay(Duration delay);
  /// Makes the next `n` appends take effect but close the connection without a
  /// response, so that the writer cannot know whether they were stored.
  void LoseAnswers(uint32_t n);
  /// Deletes the records of a stream below `offset`. A later read from a
  /// deleted offset is answered with status 410.
  void TrimBefore(std::string_view stream, uint64_t offset);

  /// Offset after the newest record of a stream.
  uint64_t head(std::string_view stream) const;
  /// Number of appends that took effect.
  uint64_t appends() const;
  /// Number of reads answered with at least one record.
  uint64_t reads() const;

 private:
  class Impl;
  explicit LogService(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::standin

#endif  // FILBERTWICK_STANDIN_LOG_SERVICE_H_

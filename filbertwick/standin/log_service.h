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

/// Address and limits of a stand-in log service.
struct LogServiceSettings {
  std::string host = "127.0.0.1";
  /// 0 lets the system choose.
  uint16_t port = 0;
  /// Most records of one read.
  size_t max_records_per_read = 1'000;
};

/// Takes the place of the platform's append-only log in tests and the demo. It
/// keeps everything in memory and is no production service. The switches may
/// be set on any thread; `PUT /v1/switches?down=1&delay_ms=5&lose_answers=1`
/// and `PUT /v1/switches?stream=S&trim_before=N` set them from outside.
class LogService {
 public:
  /// Listens, or fails with Unavailable.
  static absl::StatusOr<std::unique_ptr<LogService>> Create(
      boost::asio::io_context& context,
      const LogServiceSettings& settings);
  ~LogService();

  /// The port listened on.
  uint16_t port() const;

  /// While down, every request loses its connection and has no effect.
  void SetDown(bool down);
  /// Requests take effect and are answered this much later.
  void SetDelay(Duration delay);
  /// The next `n` appends take effect, but their answers are lost.
  void LoseAnswers(uint32_t n);
  /// Drops the records of a stream before an offset.
  void TrimBefore(std::string_view stream, uint64_t offset);

  /// Offset after the newest record of a stream.
  uint64_t head(std::string_view stream) const;
  /// Append requests that took effect.
  uint64_t appends() const;
  /// Read requests answered with records.
  uint64_t reads() const;

 private:
  class Impl;
  explicit LogService(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::standin

#endif  // FILBERTWICK_STANDIN_LOG_SERVICE_H_

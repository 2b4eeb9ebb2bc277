#ifndef FILBERTWICK_STANDIN_PLATFORM_STORE_H_
#define FILBERTWICK_STANDIN_PLATFORM_STORE_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace filbertwick::standin {

/// Stand-in for the platform's store in tests and the soak. It holds keyed
/// topics of one partition each in memory and serves appends, reads with long
/// polls and the newest record of each key. All calls must be made on the
/// thread of the I/O context, because the class takes no locks.
class PlatformStore {
 public:
  /// Starts to listen; port 0 picks a free port. Returns Unavailable if the
  /// port cannot be opened.
  static absl::StatusOr<std::unique_ptr<PlatformStore>> Create(
      boost::asio::io_context& context,
      const std::string& host,
      uint16_t port);
  ~PlatformStore();

  /// Appends a record, as an operator would. An empty value deletes the key
  /// from the newest records.
  void Put(std::string_view topic,
           std::string_view key,
           std::string_view value);
  /// While down, the store answers every request with status 503.
  void SetDown(bool down);
  /// While silent, the store answers no request. Requests that it has received
  /// and not answered by then are never answered, as on a connection that has
  /// gone silent for good.
  void SetSilent(bool silent);
  /// Deletes all records of a topic from its log but keeps the newest record of
  /// each key. A later read below the end of the topic is answered with status
  /// 410.
  void Compact(std::string_view topic);
  /// TCP port that the server listens on.
  uint16_t port() const;

 private:
  class Impl;
  explicit PlatformStore(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::standin

#endif  // FILBERTWICK_STANDIN_PLATFORM_STORE_H_

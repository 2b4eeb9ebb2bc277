#ifndef FILBERTWICK_STANDIN_PLATFORM_STORE_H_
#define FILBERTWICK_STANDIN_PLATFORM_STORE_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace filbertwick::standin {

/// Takes the place of the platform's store in tests and the soak: keyed topics
/// with one partition, appends, long polls and the newest record of each key.
/// Belongs to the context's thread.
class PlatformStore {
 public:
  /// Listens, or fails with Unavailable; port 0 lets the system choose.
  static absl::StatusOr<std::unique_ptr<PlatformStore>> Create(
      boost::asio::io_context& context,
      const std::string& host,
      uint16_t port);
  ~PlatformStore();

  /// Writes a record, as the operator would; an empty value drops the key.
  void Put(std::string_view topic,
           std::string_view key,
           std::string_view value);
  /// Answers every call with 503 while it is down.
  void SetDown(bool down);
  /// Forgets the records of a topic but for the newest of each key.
  void Compact(std::string_view topic);
  /// The port listened on.
  uint16_t port() const;

 private:
  class Impl;
  explicit PlatformStore(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::standin

#endif  // FILBERTWICK_STANDIN_PLATFORM_STORE_H_

#ifndef FILBERTWICK_SOAK_RELAY_H_
#define FILBERTWICK_SOAK_RELAY_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "filbertwick/platform/platform_settings.h"

namespace filbertwick::soak {

/// What a relay does with the bytes of both directions.
enum class RelayMode : uint8_t {
  kPass,
  /// Every piece arrives later.
  kDelay,
  /// Bytes towards the server vanish.
  kDiscardToServer,
  /// Bytes towards the client vanish.
  kDiscardToClient,
  /// Bytes of both directions vanish; connections stay open.
  kDiscardBoth,
  /// New connections are reset.
  kReset,
};

/// A TCP proxy on loopback that disturbs connections. Belongs to the context's
/// thread.
class Relay {
 public:
  /// Listens, or fails with Unavailable.
  static absl::StatusOr<std::unique_ptr<Relay>> Create(
      boost::asio::io_context& context,
      const platform::Address& listen,
      const platform::Address& server);
  ~Relay();

  /// Holds for bytes that arrive from now on, on all connections. What
  /// vanished stays lost: a connection that lost bytes is reset by kPass.
  void SetMode(RelayMode mode);
  /// Resets all connections.
  void ResetAll();

 private:
  class Impl;
  explicit Relay(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::soak

#endif  // FILBERTWICK_SOAK_RELAY_H_

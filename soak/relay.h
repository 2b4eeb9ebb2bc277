#ifndef FILBERTWICK_SOAK_RELAY_H_
#define FILBERTWICK_SOAK_RELAY_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>

#include "filbertwick/platform/platform_settings.h"

namespace filbertwick::soak {

/// How a relay treats its connections.
enum class RelayMode : uint8_t {
  /// Forwards bytes of both directions at once.
  kPass,
  /// Forwards bytes of both directions after a fixed delay.
  kDelay,
  /// Discards bytes towards the server.
  kDiscardToServer,
  /// Discards bytes towards the client.
  kDiscardToClient,
  /// Discards bytes of both directions; connections stay open.
  kDiscardBoth,
  /// Resets new connections.
  kReset,
};

/// A TCP proxy on loopback that injects connection faults. Must be used on the
/// context's thread only.
class Relay {
 public:
  /// Accepts connections on `listen` and forwards them to `server`. Fails with
  /// Unavailable if it can't listen.
  static absl::StatusOr<std::unique_ptr<Relay>> Create(
      boost::asio::io_context& context,
      const platform::Address& listen,
      const platform::Address& server);
  ~Relay();

  /// Applies to bytes that arrive from now on, on all connections. Discarded
  /// bytes aren't sent later, so kPass resets each connection that lost some:
  /// the rest of its stream would be corrupt.
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

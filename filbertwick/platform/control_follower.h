#ifndef FILBERTWICK_PLATFORM_CONTROL_FOLLOWER_H_
#define FILBERTWICK_PLATFORM_CONTROL_FOLLOWER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "filbertwick/base/log_line.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/control_stream_state.h"
#include "filbertwick/http/message.h"
#include "filbertwick/platform/store_client.h"

namespace filbertwick::platform {

/// What a ControlFollower tells its owner, on the context's thread.
struct ControlFollowerHooks {
  /// The configuration, the zones or the position changed.
  std::function<void()> changed;
  std::function<void(const LogLine&)> log;
};

/// Keeps what the operator publishes: read from the store, or from another
/// instance that is ahead while the store can't be reached.
class ControlFollower {
 public:
  /// Starts to read; `poll` is how long a read waits at the store. Other
  /// instances serve their snapshots at `peer_port`.
  static std::unique_ptr<ControlFollower> Create(
      boost::asio::io_context& context,
      StoreClient& store,
      Duration poll,
      uint16_t peer_port,
      ControlFollowerHooks hooks);
  ~ControlFollower();

  /// An instance at `host` has followed the stream so far.
  void OnPeerPosition(const std::string& host,
                      const core::direct::ControlPosition& position);
  /// Answers another instance that asks for a snapshot.
  http::Response Serve() const;
  const core::direct::ControlStreamState& current() const;

 private:
  class Impl;
  explicit ControlFollower(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_CONTROL_FOLLOWER_H_

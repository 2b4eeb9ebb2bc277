#ifndef FILBERTWICK_PLATFORM_CONTROL_FOLLOWER_H_
#define FILBERTWICK_PLATFORM_CONTROL_FOLLOWER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "filbertwick/base/log_line.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/control_freshness.h"
#include "filbertwick/core/direct/control_stream_state.h"
#include "filbertwick/core/policy/read_schedule.h"
#include "filbertwick/http/message.h"
#include "filbertwick/platform/store_client.h"

namespace filbertwick::platform {

/// Callbacks of a ControlFollower, called on the context's thread.
struct ControlFollowerHooks {
  /// Called after records or a snapshot were applied: the configuration, the
  /// zones or the position may have changed.
  std::function<void()> changed;
  /// Writes a line to the process's log.
  std::function<void(const LogLine&)> log;
};

/// Follows the operator's control stream: the configuration and the zones that
/// are out of service. Reads the stream from the store, and fetches a snapshot
/// from another instance that stays ahead of this one, such as when this one
/// can't reach the store. Not thread-safe: all calls run on the context's
/// thread.
class ControlFollower {
 public:
  /// Starts to read the stream, at the times `times`. Other instances serve
  /// their snapshots on `peer_port`. A change has to be in force within
  /// `bound`. `store` must outlive the follower.
  static std::unique_ptr<ControlFollower> Create(
      boost::asio::io_context& context,
      StoreClient& store,
      const core::policy::ReadTimes& times,
      uint16_t peer_port,
      Duration bound,
      ControlFollowerHooks hooks);
  ~ControlFollower();

  /// Processes the position that the instance at `host` has reached. Fetches a
  /// snapshot from `host` when all positions received for 200 ms, up to this
  /// one, were ahead of this instance.
  void OnPeerPosition(const std::string& host,
                      const core::direct::ControlPosition& position);
  /// Returns the response to another instance's request for a snapshot.
  http::Response SnapshotResponse() const;
  /// The newest known state of the control stream.
  const core::direct::ControlStreamState& current() const;
  /// How recently that state was known to be the newest.
  const core::direct::ControlFreshness& freshness() const;

 private:
  class Impl;
  explicit ControlFollower(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_CONTROL_FOLLOWER_H_

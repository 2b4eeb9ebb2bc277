#ifndef FILBERTWICK_NET_INSTANCE_NET_H_
#define FILBERTWICK_NET_INSTANCE_NET_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "filbertwick/base/log_line.h"
#include "filbertwick/base/name.h"
#include "filbertwick/core/direct/datagram.h"
#include "filbertwick/core/direct/membership.h"

namespace filbertwick::net {

/// Who this instance is and whom it may ask for others.
struct InstanceNetSettings {
  core::direct::Member self;
  /// UDP port of all instances.
  uint16_t port = 0;
  /// Hosts of some entries, not all of which need be there.
  std::vector<std::string> seeds;
};

/// What an InstanceNet tells its owner, on the context's thread.
struct InstanceNetHooks {
  std::function<void(core::direct::EntryMessage)> entry_message;
  std::function<void(core::direct::SidecarMessage)> sidecar_message;
  /// A member is new or in a later life.
  std::function<void(const core::direct::Member&)> member_found;
  /// An instance at `host` has followed the control stream so far.
  std::function<void(const std::string& host,
                     const core::direct::ControlPosition&)>
      position_heard;
  std::function<void(const LogLine&)> log;
};

/// Datagrams between instances, and how they find one another without a list
/// kept by anyone: sidecars call at the seeds until an entry speaks to them,
/// entries exchange what they know twice a second.
class InstanceNet {
 public:
  /// Binds the port; Unavailable when that fails.
  static absl::StatusOr<std::unique_ptr<InstanceNet>> Create(
      boost::asio::io_context& context,
      InstanceNetSettings settings,
      InstanceNetHooks hooks);
  ~InstanceNet();

  /// Sends to a member; dropped when it is not known.
  void Send(const InstanceName& to, const core::direct::Datagram& datagram);
  /// Takes a member in that someone else told of.
  void AddMember(const core::direct::Member& member);
  /// Replaces the seeds.
  void SetSeeds(std::vector<std::string> seeds);
  /// Position told to other instances.
  void SetControlPosition(const core::direct::ControlPosition& position);
  const core::direct::Membership& members() const;

 private:
  class Impl;
  explicit InstanceNet(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_INSTANCE_NET_H_

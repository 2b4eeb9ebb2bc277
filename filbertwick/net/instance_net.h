#ifndef FILBERTWICK_NET_INSTANCE_NET_H_
#define FILBERTWICK_NET_INSTANCE_NET_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "filbertwick/base/log_line.h"
#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/datagram.h"
#include "filbertwick/core/direct/membership.h"

namespace filbertwick::net {

/// Datagrams between this instance and others over some time.
struct InstanceTraffic {
  uint64_t datagrams_received = 0;
  uint64_t bytes_received = 0;
  uint64_t datagrams_sent = 0;
  uint64_t bytes_sent = 0;
  /// Datagrams that the socket did not take.
  uint64_t datagrams_refused = 0;
  /// Datagrams above core::direct::kMaxDatagramBytes, each of them a defect.
  uint64_t datagrams_too_large = 0;
  /// Shortest time from the sending of an EntryMessage until a SidecarMessage
  /// that echoes it was handled, which is about a round trip; unset when none
  /// was handled.
  std::optional<Duration> shortest_echo;
};

/// Identity of this instance and the hosts through which it finds others.
struct InstanceNetSettings {
  core::direct::Member self;
  /// UDP port on which all instances listen.
  uint16_t port = 0;
  /// Hosts of some entries. Not all of them have to be reachable.
  std::vector<std::string> seeds;
  /// Zone of this instance, if it is an entry.
  ZoneName zone = {};
};

/// Functions that InstanceNet calls on the thread of its io_context.
struct InstanceNetHooks {
  std::function<void(core::direct::EntryMessage)> entry_message;
  std::function<void(core::direct::SidecarMessage)> sidecar_message;
  std::function<void(core::direct::HandoverMessage)> handover_message =
      [](const core::direct::HandoverMessage&) {};
  /// Returns the load of this entry for a MembershipMessage.
  std::function<core::direct::EntryLoad()> own_load = [] {
    return core::direct::EntryLoad();
  };
  /// An entry has reported its zone and load.
  std::function<void(const core::direct::Peer&,
                     const ZoneName&,
                     const core::direct::EntryLoad&)>
      entry_load = [](const core::direct::Peer&,
                      const ZoneName&,
                      const core::direct::EntryLoad&) {};
  /// The messages that have arrived together were passed on. `more_left` tells
  /// that more may have arrived than are read at once.
  std::function<void(bool more_left)> batch_ended = [](bool) {};
  /// A member was added, or its incarnation, role or host changed.
  std::function<void(const core::direct::Member&)> member_found;
  /// A datagram from `host` reported how far its sender has applied the control
  /// stream.
  std::function<void(const std::string& host,
                     const core::direct::ControlPosition&)>
      control_position_received;
  std::function<void(const LogLine&)> log;
};

/// Sends datagrams between instances and maintains the list of members by
/// gossip, without a central registry:
/// - Twice a second an entry sends a MembershipMessage with its identity and a
///   digest of its member list to all seeds and all entries that it knows. A
///   receiver whose list has another digest replies with its whole list.
/// - A sidecar without a recent EntryMessage sends its identity to its seeds
///   and the entries that it knows, until it receives an EntryMessage.
/// - The host of a member is the source address of its datagrams.
/// Datagrams are not acknowledged or resent. A lost MembershipMessage is made
/// up for by the next round.
class InstanceNet {
 public:
  /// Binds the port and starts the gossip. Returns Unavailable if the port
  /// can't be bound.
  static absl::StatusOr<std::unique_ptr<InstanceNet>> Create(
      boost::asio::io_context& context,
      InstanceNetSettings settings,
      InstanceNetHooks hooks);
  ~InstanceNet();

  /// Sends a datagram to a member. Returns false if it was not sent: the member
  /// is unknown, the socket is full or the datagram is too large. True does not
  /// mean that it arrives.
  bool Send(const InstanceName& to, const core::direct::Datagram& datagram);
  /// Adds a member that was not reported by its own datagrams, such as one read
  /// from the platform's store. Ignored if the same or a later incarnation of
  /// it is known.
  void AddMember(const core::direct::Member& member);
  /// Replaces the seeds; used from the next gossip round on.
  void SetSeeds(std::vector<std::string> seeds);
  /// Sets the position in the control stream that is sent to other instances.
  void SetControlPosition(const core::direct::ControlPosition& position);
  const core::direct::Membership& members() const;
  /// Returns the traffic since the previous call.
  InstanceTraffic TakeTraffic();

 private:
  class Impl;
  explicit InstanceNet(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_INSTANCE_NET_H_

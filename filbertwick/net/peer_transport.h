#ifndef FILBERTWICK_NET_PEER_TRANSPORT_H_
#define FILBERTWICK_NET_PEER_TRANSPORT_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "filbertwick/base/counters.h"
#include "filbertwick/base/time.h"
#include "filbertwick/wire/control_record.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::net {

/// Largest datagram; probes that do not fit go over the connection.
inline constexpr size_t kMaxPeerDatagramBytes = 1400;

/// Who this instance is to its peers, and limits.
struct PeerTransportSettings {
  wire::Sender self;
  /// IP number to listen on, given to peers as well.
  std::string host = "127.0.0.1";
  /// 0 lets the system choose.
  uint16_t udp_port = 0;
  /// 0 lets the system choose.
  uint16_t tcp_port = 0;
  /// HTTP port given to peers.
  uint16_t http_port = 0;
  /// Shared by all instances of the deployment; never empty.
  std::string secret;
  /// Most bytes that wait for one peer.
  size_t max_queue_bytes = 32 * 1024 * 1024;
  /// More connections of peers than this are refused.
  size_t max_connections = 4096;
  /// A peer that connects must send its hello within this.
  Duration hello_timeout = std::chrono::seconds(5);
  /// Seed of the jitter between reconnects.
  uint64_t seed = 0;
};

/// Takes a message whose MAC, receiver and sequence were right.
using ReceiveHook = std::function<void(wire::Sender, wire::Message)>;

/// Finds an instance in the folded log; null when it is not there.
using PeerLookup =
    std::function<const wire::InstanceInfo*(const InstanceName&)>;

/// Carries messages between instances: probes and their replies as datagrams,
/// all others over one standing connection a pair and direction. Every frame
/// has a MAC; wrong, replayed and stale ones are counted and dropped. Messages
/// for a peer that can't be reached are dropped and counted as well. Used on
/// the thread of its io_context only.
class PeerTransport {
 public:
  /// Listens; Unavailable when an address can't be bound, InvalidArgument for
  /// an empty secret or a host that is no IP number.
  static absl::StatusOr<std::unique_ptr<PeerTransport>> Create(
      boost::asio::io_context& context,
      const PeerTransportSettings& settings,
      Counters& counters,
      PeerLookup lookup,
      ReceiveHook receive);
  ~PeerTransport();

  /// Where peers reach this instance, with the ports that are bound.
  const wire::InstanceAddress& address() const;

  /// Sends a message, at most once.
  void Send(const InstanceName& to, const wire::Message& message);

  /// False while messages are on their way to peers that may be reachable.
  bool idle() const;

 private:
  class Impl;
  explicit PeerTransport(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_PEER_TRANSPORT_H_

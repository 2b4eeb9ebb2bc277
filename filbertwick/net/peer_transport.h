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

/// Maximum size of a sent datagram, in bytes. Larger probes are sent over the
/// connection.
inline constexpr size_t kMaxPeerDatagramBytes = 1400;

/// Identity, addresses and limits of a PeerTransport.
struct PeerTransportSettings {
  wire::Sender self;
  /// IP address to listen on. It is also advertised to peers.
  std::string host = "127.0.0.1";
  /// 0 lets the system choose a port.
  uint16_t udp_port = 0;
  /// 0 lets the system choose a port.
  uint16_t tcp_port = 0;
  /// HTTP port advertised to peers.
  uint16_t http_port = 0;
  /// Secret shared by all instances of the deployment. Must not be empty.
  std::string secret;
  /// Maximum number of bytes queued for one peer.
  size_t max_queue_bytes = 32 * 1024 * 1024;
  /// Maximum number of accepted connections. Further ones are closed at once.
  size_t max_connections = 4096;
  /// Time within which a peer must send its hello after it connected.
  Duration hello_timeout = std::chrono::seconds(5);
  /// Seed of the jitter of the reconnect backoff.
  uint64_t seed = 0;
};

/// Receives a message whose MAC, receiver and sequence number were verified.
using ReceiveHook = std::function<void(wire::Sender, wire::Message)>;

/// Finds an instance in the state applied from the control log. Returns null if
/// it is not listed there.
using PeerLookup =
    std::function<const wire::InstanceInfo*(const InstanceName&)>;

/// Sends messages between instances, each at most once: probes and their
/// replies as datagrams, all others over one persistent connection per pair and
/// direction.
///
/// Every frame has a MAC, a sequence number, and the incarnations of sender and
/// receiver. An incarnation is one run of an instance; the first valid frame of
/// a new one retires the one before, whose frames are dropped from then on. A
/// frame for another incarnation of the receiver is answered with a hello, from
/// which its sender learns the current incarnation and address. Invalid,
/// replayed and stale frames, and messages to an unreachable peer, are counted
/// and dropped. Must be used on the thread of its io_context only.
class PeerTransport {
 public:
  /// Starts to listen. Returns Unavailable if an address can't be bound,
  /// InvalidArgument if the secret is empty or the host is not an IP address.
  static absl::StatusOr<std::unique_ptr<PeerTransport>> Create(
      boost::asio::io_context& context,
      const PeerTransportSettings& settings,
      Counters& counters,
      PeerLookup lookup,
      ReceiveHook receive);
  ~PeerTransport();

  /// Address at which peers reach this instance, with the bound ports.
  const wire::InstanceAddress& address() const;

  /// Sends a message at most once. A message that can't be sent is counted and
  /// dropped.
  void Send(const InstanceName& to, const wire::Message& message);

  /// Returns false while a link has messages queued or being written. Links to
  /// peers that are considered unreachable, in the backoff after a failure, are
  /// not counted.
  bool idle() const;

 private:
  class Impl;
  explicit PeerTransport(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_PEER_TRANSPORT_H_

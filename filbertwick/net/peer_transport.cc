#include "filbertwick/net/peer_transport.h"

#include <sodium.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <map>
#include <set>
#include <utility>
#include <variant>

#include "filbertwick/net/frame.h"
#include "filbertwick/net/peer_connection.h"
#include "filbertwick/net/peer_counters.h"
#include "filbertwick/net/peer_link.h"
#include "filbertwick/net/replay_guard.h"
#include "filbertwick/wire/codec.h"

namespace filbertwick::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

constexpr int kSocketBufferBytes = 4 * 1024 * 1024;
constexpr size_t kReceiveBufferBytes = 64 * 1024;
/// Delay before the next accept after a failed one, so that the system can free
/// descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

bool PrefersDatagram(const wire::Message& message) {
  return std::holds_alternative<wire::Probe>(message) ||
         std::holds_alternative<wire::ProbeReply>(message);
}

std::string RandomChallenge() {
  std::string challenge(kChallengeBytes, '\0');
  randombytes_buf(challenge.data(), challenge.size());
  return challenge;
}

absl::Status BindError(std::string_view what, const error_code& ec) {
  return absl::UnavailableError("can't listen for " + std::string(what) + ": " +
                                ec.message());
}

}  // namespace

/// Owns the sockets, the accepted connections and the links. Their hooks
/// capture a pointer to it.
class PeerTransport::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context,
       const PeerTransportSettings& settings,
       const FrameCodec& codec,
       Counters& counters,
       PeerLookup lookup,
       ReceiveHook receive)
      : context_(context),
        settings_(settings),
        codec_(codec),
        counters_(counters),
        lookup_(std::move(lookup)),
        receive_(std::move(receive)),
        udp_(context),
        acceptor_(context),
        accept_retry_timer_(context) {}

  absl::Status Listen() {
    error_code ec;
    const auto host = asio::ip::make_address(settings_.host, ec);
    if (ec) {
      return absl::InvalidArgumentError("not an IP address: " + settings_.host);
    }
    const udp::endpoint udp_endpoint(host, settings_.udp_port);
    udp_.open(udp_endpoint.protocol(), ec);
    udp_.bind(udp_endpoint, ec);
    if (ec) {
      return BindError("datagrams", ec);
    }
    const tcp::endpoint tcp_endpoint(host, settings_.tcp_port);
    acceptor_.open(tcp_endpoint.protocol(), ec);
    acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    acceptor_.bind(tcp_endpoint, ec);
    if (!ec) {
      acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      return BindError("connections", ec);
    }
    // The system may grant a smaller buffer; then more datagrams are dropped.
    udp_.set_option(asio::socket_base::receive_buffer_size(kSocketBufferBytes),
                    ec);
    udp_.non_blocking(true, ec);
    address_ = {settings_.host, udp_.local_endpoint().port(),
                acceptor_.local_endpoint().port(), settings_.http_port};
    return absl::OkStatus();
  }

  void Start() {
    ReceiveDatagram();
    Accept();
  }

  void Stop() {
    stopped_ = true;
    error_code ignored;
    udp_.close(ignored);
    acceptor_.close(ignored);
    accept_retry_timer_.cancel();
    for (const auto& connection : connections_) {
      connection->Close();
    }
    connections_.clear();
    for (auto& [name, peer] : peers_) {
      CloseLink(peer);
    }
  }

  void Send(const InstanceName& to, const wire::Message& message) {
    Peer& peer = peers_[to];
    RefreshPeerAddress(to, peer);
    if (!peer.known) {
      counters_.no_address.Add();
      return;
    }
    std::string body = wire::EncodeMessage(message);
    if (body.size() > wire::kMaxMessageBytes) {
      counters_.too_large.Add();
      return;
    }
    if (PrefersDatagram(message) && SendDatagram(to, peer, body)) {
      return;
    }
    SendOverLink(to, peer, std::move(body));
  }

  const wire::InstanceAddress& address() const { return address_; }

  bool idle() const {
    return std::ranges::all_of(peers_, [](const auto& item) {
      return !item.second.link || item.second.link->idle();
    });
  }

 private:
  /// Address of a peer, and the link to it.
  struct Peer {
    bool known = false;
    wire::InstanceAddress address;
    wire::Incarnation incarnation = 0;
    /// Incarnation that the last lookup returned.
    wire::Incarnation lookup_incarnation = 0;
    uint64_t datagram_sequence = 0;
    uint64_t stream_sequence = 0;
    std::shared_ptr<PeerLink> link;
  };

  /// Takes the address from the lookup if it returns another incarnation than
  /// the last time, unless that incarnation is retired already.
  void RefreshPeerAddress(const InstanceName& name, Peer& peer) {
    const wire::InstanceInfo* info = lookup_(name);
    if (info == nullptr || info->incarnation == peer.lookup_incarnation) {
      return;
    }
    peer.lookup_incarnation = info->incarnation;
    if (!replay_guard_.IsRetired({name, info->incarnation})) {
      SetPeerAddress(peer, info->address, info->incarnation);
    }
  }

  void SetPeerAddress(Peer& peer,
                      const wire::InstanceAddress& address,
                      wire::Incarnation incarnation) {
    if (peer.known && peer.address == address &&
        peer.incarnation == incarnation) {
      return;
    }
    CloseLink(peer);
    peer.known = true;
    peer.address = address;
    peer.incarnation = incarnation;
  }

  static void CloseLink(Peer& peer) {
    if (peer.link) {
      peer.link->Close();
      peer.link.reset();
    }
  }

  FrameHeader MakeHeader(FrameKind kind,
                         const InstanceName& to,
                         wire::Incarnation to_incarnation,
                         uint64_t sequence) const {
    return {kind, settings_.self, to, to_incarnation, sequence, {}};
  }

  bool SendDatagram(const InstanceName& to, Peer& peer, std::string_view body) {
    FrameHeader header = MakeHeader(FrameKind::kMessage, to, peer.incarnation,
                                    peer.datagram_sequence + 1);
    header.address = address_;
    const std::string frame = codec_.SealDatagram(header, body);
    if (frame.size() > kMaxPeerDatagramBytes) {
      return false;
    }
    ++peer.datagram_sequence;
    SendFrame(peer.address, frame);
    return true;
  }

  void SendFrame(const wire::InstanceAddress& to, std::string_view frame) {
    error_code ec;
    const auto host = asio::ip::make_address(to.host, ec);
    if (!ec) {
      udp_.send_to(asio::buffer(frame.data(), frame.size()),
                   udp::endpoint(host, to.udp_port), 0, ec);
    }
    if (ec) {
      counters_.unreachable.Add();
      return;
    }
    counters_.sent.Add();
    counters_.sent_bytes.Add(frame.size());
  }

  void SendOverLink(const InstanceName& to, Peer& peer, std::string body) {
    if (!peer.link && !OpenLink(to, peer)) {
      counters_.unreachable.Add();
      return;
    }
    peer.link->Send(std::move(body));
  }

  bool OpenLink(const InstanceName& to, Peer& peer) {
    error_code ec;
    const auto host = asio::ip::make_address(peer.address.host, ec);
    if (ec) {
      return false;
    }
    PeerLinkSettings settings;
    settings.endpoint = {host, peer.address.tcp_port};
    settings.max_queue_bytes = settings_.max_queue_bytes;
    settings.seed = settings_.seed + peers_.size();
    peer.link = PeerLink::Create(
        context_, settings,
        [this, to, &peer](std::string_view body, std::string_view challenge) {
          return SealForLink(to, peer, body, challenge);
        },
        counters_);
    return true;
  }

  /// `peer` is valid during every call, because entries of `peers_` are never
  /// erased and all links are closed before this object is destroyed.
  std::string SealForLink(const InstanceName& to,
                          Peer& peer,
                          std::string_view body,
                          std::string_view challenge) {
    const FrameKind kind =
        body.empty() ? FrameKind::kHello : FrameKind::kMessage;
    FrameHeader header =
        MakeHeader(kind, to, peer.incarnation, ++peer.stream_sequence);
    if (kind == FrameKind::kHello) {
      header.address = address_;
    }
    return codec_.SealForStream(header, body, challenge);
  }

  void ReceiveDatagram() {
    udp_.async_receive_from(
        asio::buffer(receive_buffer_), datagram_sender_,
        [self = shared_from_this()](error_code ec, size_t n) {
          if (self->stopped_) {
            return;
          }
          if (!ec) {
            self->HandleDatagram({self->receive_buffer_.data(), n});
          }
          self->ReceiveDatagram();
        });
  }

  void HandleDatagram(std::string_view bytes) {
    const auto opened = OpenFrame(bytes, {});
    if (!opened.ok()) {
      return;
    }
    const FrameHeader& header = opened->header;
    // A frame for another incarnation may be a replay, so it does not update
    // replay_guard_. The reply to a message is a hello, from which the sender
    // learns the current incarnation.
    if (header.to_incarnation != settings_.self.incarnation) {
      counters_.stale.Add();
      if (header.kind == FrameKind::kMessage) {
        SendHello(header);
      }
      return;
    }
    if (!AcceptIfFresh(header, replay_guard_.CheckDatagram(header.from,
                                                           header.sequence))) {
      return;
    }
    // A hello in reply to a frame of this instance carries the current
    // incarnation of the peer.
    if (header.kind == FrameKind::kHello) {
      SetPeerAddress(peers_[header.from.name], header.address,
                     header.from.incarnation);
      return;
    }
    Deliver(header, opened->body, bytes.size());
  }

  /// Sends the identity and address of this instance to the sender of a frame
  /// that was for another incarnation.
  void SendHello(const FrameHeader& rejected) {
    if (replay_guard_.IsRetired(rejected.from)) {
      return;
    }
    Peer& peer = peers_[rejected.from.name];
    FrameHeader header =
        MakeHeader(FrameKind::kHello, rejected.from.name,
                   rejected.from.incarnation, ++peer.datagram_sequence);
    header.address = address_;
    SendFrame(rejected.address, codec_.SealDatagram(header, {}));
  }

  /// Verifies the MAC and the receiver. Counts a frame that fails.
  absl::StatusOr<OpenedFrame> OpenFrame(std::string_view bytes,
                                        std::string_view challenge) {
    auto opened = codec_.Open(bytes, challenge);
    if (!opened.ok()) {
      const bool forged = absl::IsUnauthenticated(opened.status());
      (forged ? counters_.bad_mac : counters_.damaged).Add();
      return opened;
    }
    if (opened->header.to != settings_.self.name ||
        opened->header.from.name == settings_.self.name) {
      counters_.wrong_receiver.Add();
      return absl::NotFoundError("the frame is for another instance");
    }
    return opened;
  }

  /// Returns whether the frame is fresh; counts it otherwise. Stores the
  /// address of a new incarnation of the sender.
  bool AcceptIfFresh(const FrameHeader& header, Freshness freshness) {
    switch (freshness) {
      case Freshness::kReplayed:
        counters_.replayed.Add();
        return false;
      case Freshness::kRetiredIncarnation:
        counters_.stale.Add();
        return false;
      case Freshness::kNewIncarnation:
        SetPeerAddress(peers_[header.from.name], header.address,
                       header.from.incarnation);
        return true;
      case Freshness::kFresh:
        return true;
    }
    return false;
  }

  void Deliver(const FrameHeader& header, std::string_view body, size_t bytes) {
    auto message = wire::DecodeMessage(body);
    if (!message.ok()) {
      counters_.damaged.Add();
      return;
    }
    counters_.received.Add();
    counters_.received_bytes.Add(bytes);
    receive_(header.from, *std::move(message));
  }

  void Accept() {
    acceptor_.async_accept([self = shared_from_this()](error_code ec,
                                                       tcp::socket socket) {
      if (self->stopped_) {
        return;
      }
      if (!ec && self->connections_.size() < self->settings_.max_connections) {
        self->AddConnection(std::move(socket));
      }
      ec ? self->RetryAcceptLater() : self->Accept();
    });
  }

  /// Accepts again after a delay, so that the system can free descriptors.
  void RetryAcceptLater() {
    accept_retry_timer_.expires_after(kAcceptRetryDelay);
    accept_retry_timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && !self->stopped_) {
        self->Accept();
      }
    });
  }

  void AddConnection(tcp::socket socket) {
    auto connection = PeerConnection::Create(
        std::move(socket), RandomChallenge(),
        [this](PeerConnection& from, std::string_view frame) {
          return HandleFrame(from, frame);
        },
        [this](PeerConnection& from) {
          connections_.erase(from.shared_from_this());
        });
    connections_.insert(connection);
    connection->Start(settings_.hello_timeout);
  }

  bool HandleFrame(PeerConnection& connection, std::string_view frame) {
    const auto opened = OpenFrame(frame, connection.challenge());
    if (!opened.ok()) {
      return false;
    }
    const FrameHeader& header = opened->header;
    const bool first = connection.peer().name.empty();
    const bool is_hello = header.kind == FrameKind::kHello;
    if (first != is_hello || (!first && connection.peer() != header.from)) {
      counters_.damaged.Add();
      return false;
    }
    // The sender knows another incarnation of this instance, or none. It learns
    // the current one from the hello.
    if (header.to_incarnation != settings_.self.incarnation) {
      counters_.stale.Add();
      SendHello(header);
      return false;
    }
    if (!AcceptIfFresh(
            header, replay_guard_.CheckStream(header.from, header.sequence))) {
      return false;
    }
    if (is_hello) {
      ReplaceConnection(connection, header.from);
      return true;
    }
    Deliver(header, opened->body, frame.size());
    return true;
  }

  /// Keeps only the newest connection from each peer and closes the others.
  void ReplaceConnection(PeerConnection& connection,
                         const wire::Sender& sender) {
    std::erase_if(connections_, [&](const auto& other) {
      const bool replaced =
          other.get() != &connection && other->peer().name == sender.name;
      if (replaced) {
        other->Close();
      }
      return replaced;
    });
    connection.SetPeer(sender);
  }

  asio::io_context& context_;
  const PeerTransportSettings settings_;
  const FrameCodec codec_;
  PeerCounters counters_;
  PeerLookup lookup_;
  ReceiveHook receive_;
  udp::socket udp_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_retry_timer_;
  wire::InstanceAddress address_;
  bool stopped_ = false;
  std::array<char, kReceiveBufferBytes> receive_buffer_;
  udp::endpoint datagram_sender_;
  ReplayGuard replay_guard_;
  std::map<InstanceName, Peer> peers_;
  std::set<std::shared_ptr<PeerConnection>> connections_;
};

absl::StatusOr<std::unique_ptr<PeerTransport>> PeerTransport::Create(
    asio::io_context& context,
    const PeerTransportSettings& settings,
    Counters& counters,
    PeerLookup lookup,
    ReceiveHook receive) {
  const auto codec = FrameCodec::Create(settings.secret);
  if (!codec.ok()) {
    return codec.status();
  }
  auto impl = std::make_shared<Impl>(context, settings, *codec, counters,
                                     std::move(lookup), std::move(receive));
  if (const absl::Status status = impl->Listen(); !status.ok()) {
    return status;
  }
  impl->Start();
  return std::unique_ptr<PeerTransport>(new PeerTransport(std::move(impl)));
}

PeerTransport::PeerTransport(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

PeerTransport::~PeerTransport() {
  try {
    impl_->Stop();
  } catch (const std::exception&) {
    // Whatever could not be closed is released with the io_context.
  }
}

const wire::InstanceAddress& PeerTransport::address() const {
  return impl_->address();
}

bool PeerTransport::idle() const {
  return impl_->idle();
}

void PeerTransport::Send(const InstanceName& to, const wire::Message& message) {
  impl_->Send(to, message);
}

}  // namespace filbertwick::net

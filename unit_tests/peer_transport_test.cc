#include "filbertwick/net/peer_transport.h"

#include <criterion/criterion.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <map>
#include <random>
#include <vector>

#include "filbertwick/net/frame.h"
#include "filbertwick/net/peer_link.h"
#include "filbertwick/net/replay_guard.h"
#include "filbertwick/wire/codec.h"

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using filbertwick::Counters;
using filbertwick::InstanceName;
using filbertwick::net::FrameCodec;
using filbertwick::net::FrameHeader;
using filbertwick::net::FrameKind;
using filbertwick::net::Freshness;
using filbertwick::net::PeerTransport;
using filbertwick::net::PeerTransportSettings;
using filbertwick::net::ReplayGuard;
using filbertwick::net::SequenceWindow;
namespace wire = filbertwick::wire;

constexpr std::string_view kSecret = "a secret";
constexpr int kDamagedFrames = 5'000;
/// Time limit of each wait, so that a hanging test fails. It is far longer than
/// any wait that succeeds.
constexpr std::chrono::seconds kTestTimeout(20);

/// The instances of one test, all on one io_context.
struct Cluster {
  /// An instance and the messages that it received.
  struct Node {
    Counters counters;
    std::unique_ptr<PeerTransport> transport;
    wire::InstanceInfo info;
    std::vector<wire::Message> received;
    std::vector<wire::Sender> senders;

    uint64_t Count(std::string_view name) { return counters.Get(name).value(); }
  };

  /// Starts an instance, or a new incarnation of a running one on the same
  /// ports.
  Node& Start(const char* name, uint64_t incarnation) {
    auto node = std::make_unique<Node>();
    PeerTransportSettings settings;
    settings.self = {InstanceName(name), incarnation};
    settings.secret = kSecret;
    if (const auto it = nodes.find(name); it != nodes.end()) {
      settings.udp_port = it->second->info.address.udp_port;
      settings.tcp_port = it->second->info.address.tcp_port;
      it->second->transport.reset();
      context.poll();
    }
    auto transport = PeerTransport::Create(
        context, settings, node->counters,
        [this](const InstanceName& peer) { return Find(peer); },
        [n = node.get()](wire::Sender from, wire::Message message) {
          n->senders.push_back(std::move(from));
          n->received.push_back(std::move(message));
        });
    cr_assert(transport.ok(), "%s", transport.status().ToString().c_str());
    node->transport = *std::move(transport);
    node->info.name = InstanceName(name);
    node->info.incarnation = incarnation;
    node->info.address = node->transport->address();
    auto& slot = nodes[name];
    slot = std::move(node);
    return *slot;
  }

  const wire::InstanceInfo* Find(const InstanceName& name) const {
    const auto it = logged_instances.find(name);
    return it == logged_instances.end() ? nullptr : &it->second;
  }

  void AddToLog(const Node& node) {
    logged_instances[node.info.name] = node.info;
  }

  template <typename Condition>
  void RunUntil(Condition done) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!done()) {
      cr_assert(std::chrono::steady_clock::now() < end, "the wait timed out");
      context.run_one_for(std::chrono::milliseconds(10));
    }
  }

  asio::io_context context;
  std::map<std::string, std::unique_ptr<Node>> nodes;
  std::map<InstanceName, wire::InstanceInfo> logged_instances;
};

wire::Message SampleProbe(int64_t sent) {
  wire::Probe probe;
  probe.sent = sent;
  return probe;
}

wire::Message SampleForward(size_t bytes) {
  wire::ForwardJob forward;
  forward.spec.payloads = {std::string(bytes, 'x')};
  return forward;
}

FrameHeader HeaderTo(const Cluster::Node& node, uint64_t sequence) {
  FrameHeader header;
  header.from = {InstanceName("stranger"), 77};
  header.to = node.info.name;
  header.to_incarnation = node.info.incarnation;
  header.sequence = sequence;
  return header;
}

/// Sends one raw datagram to an instance.
void SendRaw(Cluster& cluster,
             const Cluster::Node& node,
             std::string_view bytes) {
  udp::socket socket(cluster.context, udp::endpoint(udp::v4(), 0));
  socket.send_to(asio::buffer(bytes.data(), bytes.size()),
                 {asio::ip::make_address(node.info.address.host),
                  node.info.address.udp_port});
}

/// Connects to an instance and reads its challenge.
tcp::socket Connect(Cluster& cluster,
                    const Cluster::Node& node,
                    std::string& challenge) {
  tcp::socket socket(cluster.context);
  socket.connect({asio::ip::make_address(node.info.address.host),
                  node.info.address.tcp_port});
  challenge.assign(filbertwick::net::kChallengeBytes, '\0');
  bool read = false;
  asio::async_read(socket, asio::buffer(challenge),
                   [&](boost::system::error_code, size_t) { read = true; });
  cluster.RunUntil([&] { return read; });
  return socket;
}

Test(replay_guard, window_accepts_each_number_once) {
  SequenceWindow window;
  cr_assert_not(window.Accept(0));
  cr_assert(window.Accept(5));
  cr_assert_not(window.Accept(5));
  cr_assert(window.Accept(3));
  cr_assert_not(window.Accept(3));
  cr_assert(window.Accept(100));
  cr_assert_not(window.Accept(36));
  cr_assert(window.Accept(37));
  cr_assert(window.Accept(1'000'000));
  cr_assert(window.Accept(999'999));
  cr_assert_not(window.Accept(100));
}

Test(replay_guard, frames_of_a_retired_incarnation_are_rejected) {
  ReplayGuard guard;
  const wire::Sender previous{InstanceName("a"), 1};
  const wire::Sender current{InstanceName("a"), 2};
  cr_assert(guard.CheckStream(previous, 9) == Freshness::kNewIncarnation);
  cr_assert(guard.CheckStream(previous, 9) == Freshness::kReplayed);
  cr_assert(guard.CheckStream(previous, 10) == Freshness::kFresh);
  cr_assert(guard.CheckDatagram(current, 1) == Freshness::kNewIncarnation);
  cr_assert(guard.CheckStream(previous, 11) == Freshness::kRetiredIncarnation);
  cr_assert(guard.IsRetired(previous));
  cr_assert_not(guard.IsRetired(current));
}

Test(frame, a_change_of_any_byte_is_refused) {
  const auto codec = FrameCodec::Create(kSecret);
  const auto other = FrameCodec::Create("another secret");
  cr_assert(codec.ok() && other.ok());
  FrameHeader header;
  header.from = {InstanceName("a"), 1};
  const std::string frame = codec->SealDatagram(header, "body");
  const auto opened = codec->Open(frame, {});
  cr_assert(opened.ok());
  cr_assert(opened->body == "body");
  cr_assert_not(other->Open(frame, {}).ok());
  cr_assert_not(codec->Open(frame, "challenge").ok());
  for (size_t n = 0; n < frame.size(); ++n) {
    std::string damaged = frame;
    damaged[n] = static_cast<char>(damaged[n] ^ 1);
    cr_assert_not(codec->Open(damaged, {}).ok());
    cr_assert_not(codec->Open(frame.substr(0, n), {}).ok());
  }
  cr_assert_not(FrameCodec::Create("").ok());
}

Test(peer_transport, carries_small_and_large_messages) {
  Cluster cluster;
  auto& a = cluster.Start("a", 1);
  auto& b = cluster.Start("b", 2);
  cluster.AddToLog(b);
  a.transport->Send(b.info.name, SampleProbe(5));
  a.transport->Send(b.info.name, SampleForward(3'000'000));
  a.transport->Send(b.info.name, SampleForward(10));
  cluster.RunUntil([&] { return b.received.size() == 3; });
  cr_assert(b.senders[0] == (wire::Sender{InstanceName("a"), 1}));
  cr_assert_eq(a.Count("peer_connects"), 1);
  // A probe that is too large for a datagram is sent over the connection.
  wire::Probe probe;
  for (uint16_t n = 0; n < 64; ++n) {
    probe.summary.overrides.push_back(
        {n, {1, 2, 0, InstanceName(std::string(40, 'n'))}});
  }
  a.transport->Send(b.info.name, probe);
  cluster.RunUntil([&] { return b.received.size() == 4; });
  // b learned the address of a from the frames of a.
  b.transport->Send(a.info.name, SampleProbe(6));
  b.transport->Send(a.info.name, SampleForward(10));
  cluster.RunUntil([&] { return a.received.size() == 2; });
}

Test(peer_transport, a_peer_without_address_is_counted) {
  Cluster cluster;
  auto& a = cluster.Start("a", 1);
  a.transport->Send(InstanceName("nobody"), SampleProbe(1));
  cr_assert_eq(a.Count("peer_dropped_no_address"), 1);
}

Test(peer_transport, drops_forged_replayed_and_misdirected_datagrams) {
  Cluster cluster;
  auto& node = cluster.Start("a", 1);
  const auto codec = FrameCodec::Create(kSecret);
  const std::string probe = wire::EncodeMessage(SampleProbe(1));
  const std::string good = codec->SealDatagram(HeaderTo(node, 1), probe);
  SendRaw(cluster, node, good);
  SendRaw(cluster, node, good);
  cluster.RunUntil([&] { return node.Count("peer_dropped_replayed") == 1; });
  std::string forged = good;
  forged.back() = static_cast<char>(forged.back() ^ 1);
  SendRaw(cluster, node, forged);
  cluster.RunUntil([&] { return node.Count("peer_dropped_bad_mac") == 1; });
  FrameHeader header = HeaderTo(node, 2);
  header.to = InstanceName("b");
  SendRaw(cluster, node, codec->SealDatagram(header, probe));
  cluster.RunUntil(
      [&] { return node.Count("peer_dropped_wrong_receiver") == 1; });
  // A frame addressed to another incarnation of the receiver, such as one
  // recorded before its restart.
  header = HeaderTo(node, 2);
  header.to_incarnation = 99;
  SendRaw(cluster, node, codec->SealDatagram(header, probe));
  cluster.RunUntil([&] { return node.Count("peer_dropped_stale") == 1; });
  SendRaw(cluster, node, codec->SealDatagram(HeaderTo(node, 3), "damage"));
  cluster.RunUntil([&] { return node.Count("peer_dropped_damaged") == 1; });
  cr_assert_eq(node.received.size(), 1);
}

Test(peer_transport, rejects_frames_recorded_on_another_connection) {
  Cluster cluster;
  auto& node = cluster.Start("a", 1);
  const auto codec = FrameCodec::Create(kSecret);
  std::string challenge;
  FrameHeader hello = HeaderTo(node, 1);
  hello.kind = FrameKind::kHello;
  tcp::socket first = Connect(cluster, node, challenge);
  const std::string frame = codec->SealForStream(
      HeaderTo(node, 2), wire::EncodeMessage(SampleForward(1)), challenge);
  const std::string recorded =
      codec->SealForStream(hello, {}, challenge) + frame;
  asio::write(first, asio::buffer(recorded));
  cluster.RunUntil([&] { return node.received.size() == 1; });
  tcp::socket second = Connect(cluster, node, challenge);
  asio::write(second, asio::buffer(recorded));
  cluster.RunUntil([&] { return node.Count("peer_dropped_bad_mac") == 1; });
  // A frame repeated on the same connection has a sequence number that was used
  // before; the connection is closed.
  asio::write(first, asio::buffer(frame));
  cluster.RunUntil([&] { return node.Count("peer_dropped_replayed") == 1; });
  cr_assert_eq(node.received.size(), 1);
}

Test(peer_transport, damaged_streams_never_crash) {
  Cluster cluster;
  auto& node = cluster.Start("a", 1);
  const auto codec = FrameCodec::Create(kSecret);
  std::mt19937_64 random(3);
  const std::string message = wire::EncodeMessage(SampleForward(40));
  for (int i = 0; i < kDamagedFrames; ++i) {
    std::string body = message;
    body[random() % body.size()] = static_cast<char>(random());
    SendRaw(cluster, node,
            codec->SealDatagram(HeaderTo(node, static_cast<uint64_t>(i) + 1),
                                body.substr(0, random() % body.size())));
    const auto taken = [&] {
      return node.received.size() + node.Count("peer_dropped_damaged");
    };
    cluster.RunUntil([&] { return taken() > static_cast<size_t>(i); });
  }
  std::string challenge;
  tcp::socket socket = Connect(cluster, node, challenge);
  asio::write(socket, asio::buffer(std::string(100, '\xff')));
  bool closed = false;
  socket.async_wait(tcp::socket::wait_read,
                    [&](boost::system::error_code) { closed = true; });
  cluster.RunUntil([&] { return closed; });
}

Test(peer_transport, reconnects_to_a_new_incarnation) {
  Cluster cluster;
  auto& a = cluster.Start("a", 1);
  auto& previous = cluster.Start("b", 2);
  cluster.AddToLog(previous);
  a.transport->Send(InstanceName("b"), SampleForward(1));
  cluster.RunUntil([&] { return previous.received.size() == 1; });
  // The log still lists the previous incarnation. The current one rejects a
  // frame for the previous one and replies with a hello that carries its own.
  auto& current = cluster.Start("b", 3);
  cluster.RunUntil([&] {
    a.transport->Send(InstanceName("b"), SampleForward(1));
    return !current.received.empty();
  });
  cr_assert_gt(a.Count("peer_dropped_unreachable"), 0);
  cr_assert_gt(current.Count("peer_dropped_stale"), 0);
  // Once the log lists the current incarnation, datagrams reach it as well.
  cluster.AddToLog(current);
  const size_t before = current.received.size();
  a.transport->Send(InstanceName("b"), SampleProbe(1));
  cluster.RunUntil([&] { return current.received.size() > before; });
}

Test(peer_transport, bounds_the_queue_of_an_unreachable_peer) {
  Cluster cluster;
  auto& a = cluster.Start("a", 1);
  Cluster::Node gone;
  gone.info.name = InstanceName("gone");
  gone.info.incarnation = 5;
  gone.info.address = a.info.address;
  gone.info.address.tcp_port = 1;
  cluster.AddToLog(gone);
  a.transport->Send(gone.info.name, SampleForward(wire::kMaxMessageBytes));
  cr_assert_eq(a.Count("peer_dropped_too_large"), 1);
  constexpr int kMessages = 40;
  for (int i = 0; i < kMessages; ++i) {
    a.transport->Send(gone.info.name, SampleForward(1'000'000));
  }
  const auto full = a.Count("peer_dropped_queue_full");
  cr_assert_gt(full, 0);
  cluster.RunUntil(
      [&] { return a.Count("peer_dropped_unreachable") + full == kMessages; });
}

}  // namespace

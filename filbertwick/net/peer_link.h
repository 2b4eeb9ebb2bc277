#ifndef FILBERTWICK_NET_PEER_LINK_H_
#define FILBERTWICK_NET_PEER_LINK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "filbertwick/base/time.h"
#include "filbertwick/net/frame.h"
#include "filbertwick/net/peer_counters.h"

namespace filbertwick::net {

/// Size of the challenge that the accepting side sends first, in bytes. The MAC
/// of every frame on the connection covers it.
inline constexpr size_t kChallengeBytes = 16;

/// Endpoint and limits of a PeerLink.
struct PeerLinkSettings {
  boost::asio::ip::tcp::endpoint endpoint;
  /// Maximum number of bytes queued for sending.
  size_t max_queue_bytes = 32 * 1024 * 1024;
  /// Backoff after the first failure. Doubles with each further failure up to
  /// reconnect_max, and is reset once a connection opens. Jitter shortens
  /// each wait to between half of the backoff and the whole of it.
  Duration reconnect_min = std::chrono::milliseconds(20);
  Duration reconnect_max = std::chrono::seconds(1);
  /// Time limit for connecting and receiving the challenge.
  Duration connect_timeout = std::chrono::seconds(2);
  /// Seed of the backoff's jitter.
  uint64_t seed = 0;
};

/// Encodes a message with header and MAC as a frame for a connection. An empty
/// body produces a hello.
using StreamSealer = std::function<std::string(std::string_view body,
                                               std::string_view challenge)>;

/// Persistent outgoing connection to one incarnation of one peer. Connects when
/// the first message is queued. Messages that are queued or being written when
/// the connection fails are dropped, because delivery is at most once.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  /// Creates a link that is not connected yet.
  static std::shared_ptr<PeerLink> Create(boost::asio::io_context& context,
                                          const PeerLinkSettings& settings,
                                          StreamSealer sealer,
                                          PeerCounters& counters);

  /// Queues an encoded message. Drops and counts it if the queue is full or the
  /// link is closed.
  void Send(std::string body);
  /// Returns false while messages are queued or being written. During the
  /// backoff after a failure it returns true, because the peer is considered
  /// unreachable then.
  bool idle() const {
    return state_ == State::kBackoff || (queue_.empty() && !write_active_);
  }
  /// Drops all queued messages and closes the connection for good.
  void Close();

 private:
  enum class State { kIdle, kConnecting, kOpen, kBackoff, kClosed };

  PeerLink(boost::asio::io_context& context,
           const PeerLinkSettings& settings,
           StreamSealer sealer,
           PeerCounters& counters);

  void Connect();
  void ReadChallenge();
  void Open();
  void WatchForClose();
  void Write();
  void Fail();
  void DropQueue();
  Duration NextBackoff();

  PeerLinkSettings settings_;
  StreamSealer sealer_;
  PeerCounters& counters_;
  boost::asio::io_context& context_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::mt19937_64 random_;
  State state_ = State::kIdle;
  /// Incremented for every connection, so that handlers ignore completions of
  /// an earlier one.
  uint64_t connection_number_ = 0;
  Duration backoff_;
  std::string challenge_;
  char discarded_byte_ = 0;
  std::deque<std::string> queue_;
  size_t queued_bytes_ = 0;
  /// Buffer of the pending async_write, and the number of messages in it.
  std::string write_buffer_;
  size_t write_messages_ = 0;
  bool write_active_ = false;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_PEER_LINK_H_

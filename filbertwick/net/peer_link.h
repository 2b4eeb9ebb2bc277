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

/// Bytes that an acceptor sends first; the MACs of a connection cover them.
inline constexpr size_t kChallengeBytes = 16;

/// Where a link leads, and its limits.
struct PeerLinkSettings {
  boost::asio::ip::tcp::endpoint endpoint;
  /// Most bytes that wait to be sent.
  size_t max_queue_bytes = 32 * 1024 * 1024;
  /// Pause after a failed connect, doubled up to reconnect_max, with jitter.
  Duration reconnect_min = std::chrono::milliseconds(20);
  Duration reconnect_max = std::chrono::seconds(1);
  /// A connect with its challenge that takes longer has failed.
  Duration connect_timeout = std::chrono::seconds(2);
  /// Seed of the jitter.
  uint64_t seed = 0;
};

/// Seals an encoded message for a connection; an empty body gives a hello.
using StreamSealer = std::function<std::string(std::string_view body,
                                               std::string_view challenge)>;

/// The standing connection to one incarnation of one peer. Connects when there
/// is something to send. What waits when the connection fails is dropped.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  /// A link that is not connected yet.
  static std::shared_ptr<PeerLink> Create(boost::asio::io_context& context,
                                          const PeerLinkSettings& settings,
                                          StreamSealer sealer,
                                          PeerCounters& counters);

  /// Queues an encoded message, or drops and counts it.
  void Send(std::string body);
  /// False while something is on its way to a peer that may be reachable.
  bool idle() const {
    return state_ == State::kBackoff || (queue_.empty() && !write_active_);
  }
  /// Drops what waits; sends nothing any more.
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
  /// Raised by every connection, so that late completions are told apart.
  uint64_t connection_number_ = 0;
  Duration backoff_;
  std::string challenge_;
  char discarded_byte_ = 0;
  std::deque<std::string> queue_;
  size_t queued_bytes_ = 0;
  /// What async_write works on, and the messages in it.
  std::string write_buffer_;
  size_t write_messages_ = 0;
  bool write_active_ = false;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_PEER_LINK_H_

#ifndef FILBERTWICK_NET_PEER_CONNECTION_H_
#define FILBERTWICK_NET_PEER_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/net/peer_link.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::net {

/// A connection that a peer opened; cuts its bytes into frames.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  /// Takes one frame without its length; false closes the connection.
  using FrameHook = std::function<bool(PeerConnection&, std::string_view)>;
  /// The connection is closed.
  using ClosedHook = std::function<void(PeerConnection&)>;

  /// A connection over an accepted socket, with `kChallengeBytes` bytes to
  /// send first.
  static std::shared_ptr<PeerConnection> Create(
      boost::asio::ip::tcp::socket socket,
      std::string challenge,
      FrameHook frame,
      ClosedHook closed);

  /// Sends the challenge and reads; a peer that sends no hello in `timeout` is
  /// dropped.
  void Start(Duration timeout);
  /// Closes without a call of the hook.
  void Close();

  /// What the MACs on this connection cover.
  const std::string& challenge() const { return challenge_; }
  /// Who opened the connection; no name before its hello.
  const wire::Sender& peer() const { return peer_; }
  /// Its hello was right: larger frames may follow.
  void SetPeer(wire::Sender peer);

 private:
  PeerConnection(boost::asio::ip::tcp::socket socket,
                 std::string challenge,
                 FrameHook frame,
                 ClosedHook closed);

  void Read();
  bool DispatchFrames();
  void Fail();

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer hello_timer_;
  std::string challenge_;
  FrameHook on_frame_;
  ClosedHook on_closed_;
  wire::Sender peer_;
  bool open_ = true;
  std::vector<char> read_buffer_;
  std::string received_;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_PEER_CONNECTION_H_

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

/// Accepted connection from a peer. Sends the challenge, then splits the
/// received bytes into frames.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
 public:
  /// Handles one frame without its length. Returning false closes the
  /// connection.
  using FrameHook = std::function<bool(PeerConnection&, std::string_view)>;
  /// Called when the connection closes for any reason but a call of Close().
  using ClosedHook = std::function<void(PeerConnection&)>;

  /// Wraps an accepted socket. `challenge` has `kChallengeBytes` bytes and is
  /// sent first.
  static std::shared_ptr<PeerConnection> Create(
      boost::asio::ip::tcp::socket socket,
      std::string challenge,
      FrameHook frame,
      ClosedHook closed);

  /// Sends the challenge and starts to read. Closes the connection if the peer
  /// was not identified by SetPeer() within `timeout`.
  void Start(Duration timeout);
  /// Closes the connection without calling ClosedHook.
  void Close();

  /// The challenge that the MAC of every frame on this connection covers.
  const std::string& challenge() const { return challenge_; }
  /// The peer that opened the connection. Its name is empty until the hello was
  /// verified.
  const wire::Sender& peer() const { return peer_; }
  /// Sets the peer after its hello was verified, stops the hello timeout and
  /// raises the frame size limit.
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

#ifndef FILBERTWICK_NET_DATAGRAM_PORT_H_
#define FILBERTWICK_NET_DATAGRAM_PORT_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace filbertwick::net {

/// Receives a datagram. `bytes` is valid only during the call.
using DatagramHook =
    std::function<void(const boost::asio::ip::udp::endpoint& from,
                       std::string_view bytes)>;

/// Functions that a DatagramPort calls on the thread of its io_context.
struct DatagramHooks {
  DatagramHook received;
  /// Called after the datagrams that were received in one go. `more_left` tells
  /// that the reading stopped at its limit, and that there may be more.
  std::function<void(bool more_left)> batch_ended;
};

/// UDP socket on one io_context that passes received datagrams to its hooks.
/// Sending never blocks: if the socket can't take a datagram at once, the
/// datagram is dropped, just as the network may drop one.
class DatagramPort {
 public:
  /// Binds to `host`:`port`; `host` is an IPv4 address. Returns Unavailable if
  /// that fails.
  static absl::StatusOr<std::unique_ptr<DatagramPort>> Create(
      boost::asio::io_context& context,
      const std::string& host,
      uint16_t port,
      DatagramHooks hooks);
  ~DatagramPort();

  /// Sends `bytes`. Returns false if the datagram was dropped by the socket;
  /// true does not mean that it arrives.
  bool Send(const boost::asio::ip::udp::endpoint& to, std::string_view bytes);
  /// The local port that the socket is bound to.
  uint16_t port() const;

 private:
  class Impl;
  explicit DatagramPort(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_DATAGRAM_PORT_H_

#ifndef FILBERTWICK_HTTP_SERVER_H_
#define FILBERTWICK_HTTP_SERVER_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "filbertwick/base/time.h"
#include "filbertwick/core/policy/client_budget.h"
#include "filbertwick/http/message.h"

namespace filbertwick::http {

/// Size limits of requests, and timeouts of requests and connections.
struct RequestLimits {
  /// A request with a larger header section is answered with 431, and so is one
  /// with a larger chunk header or trailer section.
  uint32_t max_header_bytes = 16 * 1024;
  /// A request with a larger body is answered with 413.
  size_t max_body_bytes = 8 * 1024 * 1024;
  /// A request is answered with 408 if its header section is incomplete this
  /// long after its first byte.
  Duration header_timeout = std::chrono::seconds(10);
  /// A request is answered with 408 if it is incomplete this long after its
  /// first byte.
  Duration read_timeout = std::chrono::seconds(10);
  /// A connection is closed after this time without a request, and when the
  /// client takes longer than this to accept a response.
  Duration idle_timeout = std::chrono::seconds(60);
};

/// Listening address and limits of a server.
struct ServerSettings : RequestLimits {
  /// IP address to listen on.
  std::string host = "127.0.0.1";
  /// TCP port; with 0 the operating system chooses one, see Server::port().
  uint16_t port = 0;
  /// When a connection is accepted beyond this number, some of the others are
  /// closed; see core::policy::ChooseToFreeConnections(). If all of them wait
  /// for answers, the new one is.
  size_t max_connections = 3000;
  /// Receive and send buffer of each connection in the kernel, as set by
  /// setsockopt(2); 0 leaves them to the operating system.
  size_t socket_buffer_bytes = 0;
  /// Limit of the memory held for clients, if no budget is given.
  size_t max_held_bytes = 256 * 1024 * 1024;
  /// Bounds the memory held for clients. Servers of one io_context may share
  /// it. A client whose request must go before it is complete is answered with
  /// 503.
  std::shared_ptr<core::policy::ClientBudget> budget;
};

/// Sends the response to one request. May be called from any thread, during the
/// handler or later. Calls after the first, or after the connection has closed,
/// have no effect.
using Responder = std::function<void(Response)>;

/// Handles one request, on the thread of the server's io_context.
using Handler = std::function<void(Request, Responder)>;

/// Called when a connection closes before the handler has responded to its
/// request, on the thread of the server's io_context. `request_number` is
/// Request::number.
using DisconnectHook = std::function<void(uint64_t request_number)>;

/// An HTTP/1.1 server. All its work is done on one io_context, which a single
/// thread must run. Each connection handles one request at a time; pipelined
/// requests wait until the response before them is sent. The server itself
/// answers malformed, oversized and late requests. Neither the handler nor the
/// disconnect hook is called once the server has been destroyed on the thread
/// of the io_context.
class Server {
 public:
  /// Binds the address and starts to accept connections. Fails with
  /// InvalidArgument if the host is not an IP address and with Unavailable if
  /// the address can't be bound.
  static absl::StatusOr<std::unique_ptr<Server>> Create(
      boost::asio::io_context& context,
      ServerSettings settings,
      Handler handler,
      DisconnectHook on_disconnect = nullptr);
  ~Server();

  /// Returns the TCP port on which the server listens.
  uint16_t port() const;

  /// Replaces the limits. They apply to requests whose first byte arrives from
  /// now on; a connection that already waits for a request keeps its idle
  /// timeout until it has answered that request. Must be called on the thread
  /// of the io_context.
  void SetLimits(const RequestLimits& limits);

  /// Stops accepting connections. Requests in progress are still answered; then
  /// their connections close. Idle connections close after a short grace
  /// period, in which they still accept a request. May be called from any
  /// thread.
  void StopAccepting();

  /// Returns the number of open connections. May be called from any thread.
  size_t open_connections() const;

 private:
  class Impl;
  explicit Server(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::http

#endif  // FILBERTWICK_HTTP_SERVER_H_

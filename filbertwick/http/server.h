#ifndef FILBERTWICK_HTTP_SERVER_H_
#define FILBERTWICK_HTTP_SERVER_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "filbertwick/base/time.h"
#include "filbertwick/http/message.h"

namespace filbertwick::http {

/// What a request may take.
struct RequestLimits {
  /// Larger headers get 431.
  uint32_t max_header_bytes = 16 * 1024;
  /// Larger bodies get 413.
  size_t max_body_bytes = 8 * 1024 * 1024;
  /// A request whose header takes longer to arrive gets 408.
  Duration header_timeout = std::chrono::seconds(10);
  /// A request that takes longer to arrive gets 408.
  Duration read_timeout = std::chrono::seconds(10);
  /// An idle kept-alive connection is closed after this.
  Duration idle_timeout = std::chrono::seconds(60);
};

/// Limits and address of a server.
struct ServerSettings : RequestLimits {
  /// IP number to listen on.
  std::string host = "127.0.0.1";
  /// 0 lets the system choose.
  uint16_t port = 0;
  /// More connections than this are closed at once.
  size_t max_connections = 4096;
};

/// Gives the one response to a request; may be called later, on any thread.
using Responder = std::function<void(Response)>;

/// Handles one request on the server's thread.
using Handler = std::function<void(Request, Responder)>;

/// Told when a connection went before its response was given; `request_number`
/// is Request::number.
using DisconnectHook = std::function<void(uint64_t request_number)>;

/// An HTTP/1.1 server on one io_context.
class Server {
 public:
  /// Listens, or fails with Unavailable when the address can't be bound.
  static absl::StatusOr<std::unique_ptr<Server>> Create(
      boost::asio::io_context& context,
      ServerSettings settings,
      Handler handler,
      DisconnectHook on_disconnect = nullptr);
  ~Server();

  /// The port listened on.
  uint16_t port() const;

  /// Limits requests and idle times that begin from now on; on the context's
  /// thread.
  void SetLimits(const RequestLimits& limits);

  /// Stops accepting; open requests are still answered, then closed.
  void StopAccepting();

  /// Connections now open.
  size_t open_connections() const;

 private:
  class Impl;
  explicit Server(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::http

#endif  // FILBERTWICK_HTTP_SERVER_H_

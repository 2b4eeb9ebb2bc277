#ifndef FILBERTWICK_HTTP_CLIENT_H_
#define FILBERTWICK_HTTP_CLIENT_H_

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "filbertwick/base/time.h"
#include "filbertwick/http/message.h"

namespace filbertwick::http {

/// Server address and limits of a client.
struct ClientSettings {
  /// IP address of the server; names are not resolved.
  std::string host = "127.0.0.1";
  uint16_t port = 0;
  /// Maximum number of open connections; further calls wait in the order in
  /// which they were made.
  size_t max_connections = 64;
  /// A call whose response body is larger fails with Unavailable.
  size_t max_body_bytes = 64 * 1024 * 1024;
  /// A connection that was idle for longer is closed instead of reused. Keep
  /// this below the idle timeout of the server: otherwise the server may close
  /// the connection while a request is on its way, and the call fails.
  Duration idle_timeout = std::chrono::seconds(30);
};

/// Whether the request of a failed call may have reached the server.
enum class CallProgress {
  /// No connection could be opened: the server's machine refused it, or can't
  /// be reached.
  kNotConnected,
  /// No byte of the request was sent, so the server has not acted on it.
  kNotSent,
  /// At least one byte was sent; the server may have acted on the request.
  kSent,
};

/// Response or error of a call.
struct CallResult {
  /// The response, whatever its HTTP status, or one of these errors:
  /// - Unavailable: the connection failed or the response was malformed.
  /// - DeadlineExceeded: no response arrived within the timeout.
  /// - Cancelled: Cancel() was called.
  /// - InvalidArgument: the method or target is malformed.
  absl::StatusOr<Response> response;
  CallProgress progress = CallProgress::kNotSent;
};

/// Which connection a call may use.
enum class ConnectionUse {
  /// An idle one if there is any.
  kAny,
  /// One that is opened for the call: those that are open may have gone silent.
  kNew,
};

/// Receives the result of a call, on the thread of the client's io_context.
using CallHook = std::function<void(CallResult)>;

/// An HTTP/1.1 client with a pool of connections to one server. Each connection
/// carries one call at a time. A call that times out closes its connection and
/// those that have been idle since it was sent. The client never retries a
/// request: the server may already have acted on one of which a byte was sent
/// (CallProgress::kSent). All methods must be called on the thread that runs
/// the io_context. Hooks run on that thread too, never from within a method of
/// the client and never after its destruction.
class Client {
 public:
  /// Creates a client. Connections are opened when calls need them.
  static std::unique_ptr<Client> Create(boost::asio::io_context& context,
                                        ClientSettings settings);
  ~Client();

  /// Sends a request, or queues it while all connections are busy; `timeout`
  /// covers both. `done` is called exactly once unless the client is destroyed
  /// first. Returns the call id for Cancel().
  uint64_t Call(Request request,
                Duration timeout,
                CallHook done,
                ConnectionUse use = ConnectionUse::kAny);

  /// Aborts a call; its hook receives Cancelled. Ids of completed or unknown
  /// calls are ignored.
  void Cancel(uint64_t call_id);

 private:
  class Impl;
  explicit Client(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

/// Sends one request and blocks until its result, for tools that run no
/// io_context.
absl::StatusOr<Response> CallOnce(const ClientSettings& settings,
                                  Request request,
                                  Duration timeout);

}  // namespace filbertwick::http

#endif  // FILBERTWICK_HTTP_CLIENT_H_

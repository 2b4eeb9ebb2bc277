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

/// Where a client sends, and its limits.
struct ClientSettings {
  /// IP number.
  std::string host = "127.0.0.1";
  uint16_t port = 0;
  /// Connections open at a time; further calls wait in order.
  size_t max_connections = 64;
  size_t max_body_bytes = 64 * 1024 * 1024;
  /// A connection idle for longer is not used again; keep it below the
  /// server's own limit, so that both don't meet.
  Duration idle_timeout = std::chrono::seconds(30);
};

/// How far a failed call came.
enum class CallProgress {
  /// No byte of the request was sent.
  kNotSent,
  /// Some or all was sent; the server may have acted on it.
  kSent,
};

/// Outcome of a call.
struct CallResult {
  /// The response, or Unavailable, DeadlineExceeded, Cancelled, or
  /// InvalidArgument for a request that can't be written.
  absl::StatusOr<Response> response;
  CallProgress progress = CallProgress::kNotSent;
};

/// Takes the outcome of a call, on the client's thread.
using CallHook = std::function<void(CallResult)>;

/// Keeps connections to one server and sends requests over them. A request
/// that failed after a byte was sent is never sent again by the client. All
/// calls are made on the context's thread; hooks never run inside a call of
/// the client, and not after its destruction.
class Client {
 public:
  /// A client that connects on first use.
  static std::unique_ptr<Client> Create(boost::asio::io_context& context,
                                        ClientSettings settings);
  ~Client();

  /// Sends a request; `done` is called once. Returns a number for Cancel().
  uint64_t Call(Request request, Duration timeout, CallHook done);

  /// Ends a call early; its hook gets Cancelled. Unknown numbers are ignored.
  void Cancel(uint64_t call_id);

 private:
  class Impl;
  explicit Client(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

/// Sends one request and waits for its outcome, for tools without a loop.
absl::StatusOr<Response> CallOnce(const ClientSettings& settings,
                                  Request request,
                                  Duration timeout);

}  // namespace filbertwick::http

#endif  // FILBERTWICK_HTTP_CLIENT_H_

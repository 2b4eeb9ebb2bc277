#ifndef FILBERTWICK_HTTP_SERVER_IMPL_H_
#define FILBERTWICK_HTTP_SERVER_IMPL_H_

// Private state of Server; include it only from its own sources.

#include <absl/status/status.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "filbertwick/http/server.h"

namespace filbertwick::http {

/// Owns the listening socket and all connections. Held by a shared_ptr, since
/// asynchronous operations may outlive the Server.
class Server::Impl : public std::enable_shared_from_this<Server::Impl> {
 public:
  Impl(boost::asio::io_context& context,
       ServerSettings settings,
       Handler handler,
       DisconnectHook on_disconnect)
      : context_(context),
        acceptor_(context),
        deadline_check_timer_(context),
        settings_(std::move(settings)),
        handler_(std::move(handler)),
        on_disconnect_(std::move(on_disconnect)) {
    if (!settings_.budget) {
      settings_.budget = ClientBudget::Create(settings_.max_held_bytes);
    }
  }

  absl::Status Listen();
  void StartAccepting();
  /// Closes the listening socket and has every connection close after its
  /// current request. Runs on the thread of the io_context.
  void StopAccepting();
  /// Closes the listening socket and all connections immediately.
  void Close();
  /// Runs Close() on the io_context. When called on its thread, neither the
  /// handler nor the disconnect hook is called after it.
  void Shutdown();
  void SetLimits(const RequestLimits& limits) {
    static_cast<RequestLimits&>(settings_) = limits;
  }
  /// Runs StopAccepting() on the thread of the io_context.
  void DispatchStopAccepting();

  uint16_t port() const { return port_; }
  size_t open_connections() const { return open_connections_; }

 private:
  class Connection;
  using ClientActivity = core::policy::ClientActivity;
  using ClientBudget = core::policy::ClientBudget;
  using Tcp = boost::asio::ip::tcp;
  using ErrorCode = boost::system::error_code;

  /// Most bytes of one read. Also bounds the time that a busy connection takes
  /// from the others.
  static constexpr size_t kReadBytes = 16 * 1024;

  void Accept();
  void OnAccept(const ErrorCode& ec, Tcp::socket socket);
  /// Starts the timer for CheckDeadlines() unless it is running.
  void ScheduleDeadlineCheck();
  /// Checks the deadlines of all connections, and accepts again if accepting
  /// had failed.
  void CheckDeadlines();
  /// Closes connections if the limit of their number is reached.
  void MakeRoomForConnection();
  void Remove(const std::shared_ptr<Connection>& connection);
  ClientBudget& budget() { return *settings_.budget; }

  boost::asio::io_context& context_;
  Tcp::acceptor acceptor_;
  boost::asio::steady_timer deadline_check_timer_;
  ServerSettings settings_;
  const Handler handler_;
  const DisconnectHook on_disconnect_;
  /// By id in the budget.
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> connections_;
  /// Target of every read, so that a connection that waits for bytes needs no
  /// buffer of its own.
  std::vector<char> read_buffer_ = std::vector<char>(kReadBytes);
  /// Size of connections_, readable from any thread.
  std::atomic<size_t> open_connections_ = 0;
  /// Set by Shutdown(); neither handler nor disconnect hook may run any more.
  std::atomic<bool> shut_down_ = false;
  uint16_t port_ = 0;
  uint64_t last_request_number_ = 0;
  bool stopping_ = false;
  /// The last accept failed. The next CheckDeadlines() accepts again.
  bool accept_failed_ = false;
  bool deadline_check_scheduled_ = false;
};

/// A connection from a client. Handles one request at a time. It waits for
/// bytes at all times, so that a close by the client is noticed. While as many
/// bytes of further requests are buffered as may be, only a reset is noticed.
class Server::Impl::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Impl& owner, Tcp::socket socket)
      : owner_(owner), socket_(std::move(socket)) {}

  /// Registers the connection in the budget, and waits for requests.
  void Start();
  /// Id of the connection in the budget.
  uint64_t id() const { return id_; }
  /// Sends the response to the request being handled. Does nothing if
  /// `number` is not that request.
  void Respond(uint64_t number, Response response);
  /// If the deadline has passed, answers an incomplete request with 408 and
  /// closes the connection in any other state.
  void CheckDeadline(Instant now);
  /// Closes the connection after the response to the current request, or after
  /// kStopGracePeriod if no request arrives by then.
  void CloseAfterCurrentRequest();
  void Close();

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  enum class State {
    /// Waits for a request or receives it.
    kReading,
    /// The handler has been called and has not responded.
    kHandling,
    /// Sends the response.
    kWriting,
    /// The last response is sent; waits for the client to close.
    kLingering,
    kClosed,
  };

  /// Waits for bytes unless as many are buffered as may be.
  void Read();
  void OnReadable(const ErrorCode& ec);
  void OnRead(const ErrorCode& ec, size_t n);
  /// Returns how many bytes may be read now.
  size_t MaxReadBytes() const;
  /// Ends an incomplete request with 503, and the connection in any other
  /// state, because the budget has no room for what it holds.
  void GiveUp();
  /// Tells the budget what the connection holds.
  void UpdateHolding();
  ClientActivity Activity() const;
  size_t HeldBytes() const;
  /// Closes the connection when it is reset, without reading.
  void WaitForReset();
  /// Handles the end of the client's sending side.
  void OnInputEnd();
  /// Parses buffer_ until a request is handled or more bytes are needed, then
  /// reads on.
  void ParseBuffered();
  /// Passes the buffered bytes to the parser once. Returns true if the parser
  /// made progress and the rest of the buffer should be parsed as well.
  bool ParseOnce();
  /// Resets the parser and starts the idle timeout.
  void PrepareForRequest();
  /// When the header section has just been completed, extends the deadline to
  /// that of the request and answers `Expect: 100-continue`.
  void ProcessHeaderIfComplete();
  /// Answers a request that is not read to its end, and ends the connection.
  void RejectRequest(Response response);
  void CallHandler();
  /// Returns true if the client has reset the connection, or closed it while a
  /// disconnect hook is set. A complete request may still be read from such a
  /// connection.
  bool HasClientDisconnected();
  void SendResponse(Response response);
  /// Writes the response from byte `written` on, waiting whenever the socket
  /// buffer is full.
  void WriteRemaining(size_t written);
  /// Waits for the next request, or closes if the connection isn't kept alive.
  void OnResponseSent();
  /// Ends the sending side and discards input until the client closes.
  void StartLingeringClose();

  Impl& owner_;
  Tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  State state_ = State::kReading;
  Instant deadline_;
  /// Deadline for the whole request; replaces deadline_ once the header section
  /// is complete.
  Instant request_deadline_;
  /// Request::number of the request handled last.
  uint64_t request_number_ = 0;
  /// Status line and header section of the response.
  std::string head_;
  Response response_;
  uint64_t id_ = 0;
  bool read_wait_pending_ = false;
  bool reset_wait_pending_ = false;
  /// The client has closed its sending side; the complete requests in buffer_
  /// are still answered.
  bool input_ended_ = false;
  /// ParseBuffered() is running: a handler that responds at once must not enter
  /// it again.
  bool parsing_ = false;
  /// At least one byte of the current request has arrived.
  bool request_started_ = false;
  bool header_processed_ = false;
  /// Memory of the header section in the parser.
  size_t header_bytes_ = 0;
  /// The request method is HEAD: the response is sent without its body.
  bool is_head_request_ = false;
  bool keep_alive_ = true;
  /// Set by CloseAfterCurrentRequest().
  bool stopping_ = false;
};

}  // namespace filbertwick::http

#endif  // FILBERTWICK_HTTP_SERVER_IMPL_H_

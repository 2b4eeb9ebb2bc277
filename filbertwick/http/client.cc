#include "filbertwick/http/client.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <exception>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "filbertwick/http/chunked_input.h"
#include "filbertwick/http/format.h"

namespace filbertwick::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Parser = beast::http::response_parser<beast::http::string_body>;

/// A response with a larger header section fails its call.
constexpr uint32_t kMaxHeaderBytes = 16 * 1024;
/// Buffer space for one read, until the header section is complete and after.
constexpr size_t kHeaderReadBytes = 4 * 1024;
constexpr size_t kBodyReadBytes = 64 * 1024;

/// Moves the parsed message out of the parser.
Response ExtractResponse(Parser& parser) {
  auto message = parser.release();
  Response response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  response.body = std::move(message.body());
  return response;
}

/// Formats the request line and header section. Host and Content-Length are
/// added where the request needs them.
std::string FormatRequestHead(const Request& request, std::string_view host) {
  std::string head;
  head.reserve(256);
  head += request.method;
  head += ' ';
  head += request.target;
  head += " HTTP/1.1\r\n";
  if (request.FindHeader("Host").empty()) {
    head += "Host: ";
    head += host;
    head += "\r\n";
  }
  AppendHeaders(request.headers, head);
  if (!request.body.empty() ||
      (request.method != "GET" && request.method != "HEAD")) {
    AppendContentLength(request.body.size(), head);
  }
  head += "\r\n";
  return head;
}

/// A call whose hook has not run yet.
struct PendingCall {
  Request request;
  CallHook done;
  Instant deadline;
  ConnectionUse use = ConnectionUse::kAny;
  /// The call timed out or was cancelled: it must not be sent any more, and the
  /// posted CompleteCall() is about to run its hook.
  bool aborted = false;
};

}  // namespace

/// Owns the connection pool and the queue of calls that wait for a connection.
/// Held by a shared_ptr, since asynchronous operations may outlive the Client.
class Client::Impl : public std::enable_shared_from_this<Client::Impl> {
 public:
  Impl(asio::io_context& context, ClientSettings settings)
      : context_(context),
        deadline_timer_(context),
        settings_(std::move(settings)),
        host_(fmt::format("{}:{}", settings_.host, settings_.port)) {
    // If the host is not an IP address, the endpoint stays unspecified (port
    // 0), and every call fails when it connects.
    ErrorCode ec;
    const auto address = asio::ip::make_address(settings_.host, ec);
    if (!ec) {
      endpoint_ = Tcp::endpoint(address, settings_.port);
    }
  }

  uint64_t Call(Request request,
                Duration timeout,
                CallHook done,
                ConnectionUse use);
  /// Completes a call with `status`, whether it is queued or being sent. Closes
  /// the connection that carries it.
  void AbortCall(uint64_t call_id, absl::Status status);
  /// Closes all connections and drops all calls. No hook runs after it.
  void Shutdown();

 private:
  class Connection;

  void Close();
  /// Closes the idle connections over which nothing has arrived since `since`.
  void CloseConnectionsIdleSince(Instant since);
  /// Assigns queued calls to connections until the queue is empty or
  /// max_connections is reached.
  void SendQueuedCalls();
  /// Removes the most recently used connection from the idle ones and returns
  /// it, or null if none was used within idle_timeout.
  std::shared_ptr<Connection> TakeIdleConnection();
  /// Removes a call, sends the next queued ones and runs the hook of the call.
  void CompleteCall(uint64_t call_id,
                    absl::StatusOr<Response> response,
                    CallProgress progress);
  /// Posts CompleteCall(), so that the hook doesn't run inside a method of the
  /// client.
  void PostCompleteCall(uint64_t call_id,
                        absl::Status status,
                        CallProgress progress);
  void ScheduleDeadlineTimer();
  void OnDeadlineTimer();

  asio::io_context& context_;
  asio::steady_timer deadline_timer_;
  const ClientSettings settings_;
  const std::string host_;
  Tcp::endpoint endpoint_;
  std::unordered_map<uint64_t, PendingCall> calls_;
  /// Calls without a connection, oldest first. Ids of completed or aborted
  /// calls stay until they reach the front.
  std::deque<uint64_t> queued_calls_;
  /// Deadline and id of every call that has not expired, earliest first.
  std::set<std::pair<Instant, uint64_t>> deadlines_;
  /// Expiry of deadline_timer_; max() while it is not running.
  Instant timer_expiry_ = Instant::max();
  /// Connections that carry a call, by call id.
  std::unordered_map<uint64_t, std::shared_ptr<Connection>> busy_connections_;
  /// Open connections without a call, most recently used last.
  std::vector<std::shared_ptr<Connection>> idle_connections_;
  uint64_t last_call_id_ = 0;
  /// Set by Shutdown(); no hook may run any more.
  bool shut_down_ = false;
};

/// A connection to the server. Carries one call at a time. A read is pending
/// from the time of connecting until it closes, so that a close by the server
/// is noticed while idle as well.
class Client::Impl::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Impl& owner, asio::io_context& context)
      : owner_(owner), socket_(context) {}

  /// Sends the request of a call, after connecting if necessary. `request` must
  /// stay valid while the connection carries the call.
  void Send(uint64_t call_id, const Request& request);
  void Close();

  CallProgress progress() const { return progress_; }
  Instant idle_since() const { return idle_since_; }
  /// When the present call was handed to the connection.
  Instant sent_at() const { return sent_at_; }

 private:
  /// Continues with the request, or fails the call if connecting failed.
  void OnConnect(const ErrorCode& ec);
  /// Writes the rest of the request, waiting whenever the socket buffer is
  /// full.
  void WriteRemaining();
  void Read();
  void OnRead(const ErrorCode& ec, size_t n);
  /// Passes the buffered bytes to the parser once. Returns true if the parser
  /// made progress and the rest of the buffer should be parsed as well.
  bool ParseOnce();
  /// Prepares the parser for the next response.
  void ResetParser();
  /// Completes the call with the parsed response and keeps the connection for
  /// reuse if possible.
  void OnResponseComplete();
  /// Closes the connection and fails its call, if any, with Unavailable.
  void CloseAndFailCall(std::string_view description, const ErrorCode& ec);
  /// Posts CloseAndFailCall() for the current call, so that its hook doesn't
  /// run inside Client::Call().
  void PostCloseAndFailCall(const ErrorCode& ec);

  Impl& owner_;
  Tcp::socket socket_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  /// Id of the call that the connection carries; 0 while idle.
  uint64_t call_id_ = 0;
  /// Request line and header section of the request.
  std::string head_;
  /// Points into the Request in PendingCall.
  std::string_view body_;
  /// Bytes of head_ and body_ written so far.
  size_t bytes_written_ = 0;
  /// The request method is HEAD: the response has no body.
  bool is_head_request_ = false;
  bool connected_ = false;
  bool closed_ = false;
  /// Writing the request failed. A response may still arrive, if the server
  /// answered before it had read the whole request.
  bool write_failed_ = false;
  CallProgress progress_ = CallProgress::kNotSent;
  Instant idle_since_;
  Instant sent_at_;
};

void Client::Impl::Connection::Send(uint64_t call_id, const Request& request) {
  call_id_ = call_id;
  sent_at_ = MonotonicClock::now();
  head_ = FormatRequestHead(request, owner_.host_);
  body_ = request.body;
  bytes_written_ = 0;
  is_head_request_ = request.method == "HEAD";
  progress_ = CallProgress::kNotSent;
  ResetParser();
  if (connected_) {
    WriteRemaining();
    return;
  }
  socket_.async_connect(owner_.endpoint_,
                        [self = shared_from_this()](const ErrorCode& ec) {
                          self->OnConnect(ec);
                        });
}

void Client::Impl::Connection::OnConnect(const ErrorCode& ec) {
  if (closed_) {
    return;
  }
  if (ec) {
    progress_ = CallProgress::kNotConnected;
    CloseAndFailCall("can't connect", ec);
    return;
  }
  connected_ = true;
  ErrorCode option_ec;
  socket_.non_blocking(true, option_ec);
  socket_.set_option(Tcp::no_delay(true), option_ec);
  Read();
  WriteRemaining();
}

void Client::Impl::Connection::WriteRemaining() {
  const size_t head_written = std::min(bytes_written_, head_.size());
  const size_t body_written = bytes_written_ - head_written;
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(head_.data() + head_written, head_.size() - head_written),
      asio::buffer(body_.data() + body_written, body_.size() - body_written)};
  ErrorCode ec;
  const size_t n = socket_.write_some(buffers, ec);
  bytes_written_ += n;
  if (n > 0) {
    progress_ = CallProgress::kSent;
  }
  if (ec && ec != asio::error::would_block) {
    // The server may have answered and closed before it had read the whole
    // request. If bytes were sent, the pending read delivers that response or
    // the error.
    write_failed_ = true;
    if (progress_ == CallProgress::kNotSent) {
      PostCloseAndFailCall(ec);
    }
    return;
  }
  if (bytes_written_ == head_.size() + body_.size()) {
    return;
  }
  socket_.async_wait(
      Tcp::socket::wait_write, [self = shared_from_this(),
                                call_id = call_id_](const ErrorCode& wait_ec) {
        if (!wait_ec && !self->closed_ && self->call_id_ == call_id) {
          self->WriteRemaining();
        }
      });
}

void Client::Impl::Connection::Read() {
  const bool in_body = parser_ && parser_->is_header_done();
  socket_.async_read_some(
      buffer_.prepare(in_body ? kBodyReadBytes : kHeaderReadBytes),
      [self = shared_from_this()](const ErrorCode& ec, size_t n) {
        self->OnRead(ec, n);
      });
}

void Client::Impl::Connection::OnRead(const ErrorCode& ec, size_t n) {
  if (closed_) {
    return;
  }
  buffer_.commit(n);
  if (ec && call_id_ != 0 && ec == asio::error::eof) {
    // A body without Content-Length or chunked encoding ends when the server
    // closes the connection.
    ErrorCode eof_ec;
    if (parser_->got_some()) {
      parser_->put_eof(eof_ec);
    }
    if (!eof_ec && parser_->is_done()) {
      OnResponseComplete();
      return;
    }
  }
  if (ec || call_id_ == 0) {
    CloseAndFailCall("connection lost", ec);
    return;
  }
  while (!closed_ && buffer_.size() > 0 && ParseOnce()) {
  }
  if (!closed_) {
    Read();
  }
}

bool Client::Impl::Connection::ParseOnce() {
  if (NeedsMoreOfChunk(*parser_, buffer_.size())) {
    return false;
  }
  ErrorCode ec;
  const size_t n = parser_->put(buffer_.data(), ec);
  buffer_.consume(n);
  if (ec && ec != beast::http::error::need_more) {
    CloseAndFailCall("malformed response", ec);
    return false;
  }
  if (!parser_->is_done()) {
    if (ec &&
        IsChunkHeaderTooLarge(*parser_, buffer_.size(), kMaxHeaderBytes)) {
      CloseAndFailCall("malformed response", beast::http::error::header_limit);
      return false;
    }
    return n > 0;
  }
  // Skip interim responses such as 100 Continue.
  if (parser_->get().result_int() < 200) {
    ResetParser();
    return true;
  }
  OnResponseComplete();
  return true;
}

void Client::Impl::Connection::ResetParser() {
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kMaxHeaderBytes);
  parser_->body_limit(owner_.settings_.max_body_bytes);
  parser_->skip(is_head_request_);
}

void Client::Impl::Connection::OnResponseComplete() {
  const auto self = shared_from_this();
  const uint64_t call_id = call_id_;
  const bool complete = bytes_written_ == head_.size() + body_.size();
  const bool reusable = parser_->keep_alive() && complete && !write_failed_ &&
                        buffer_.size() == 0;
  Response response = ExtractResponse(*parser_);
  call_id_ = 0;
  body_ = {};
  owner_.busy_connections_.erase(call_id);
  if (reusable) {
    idle_since_ = MonotonicClock::now();
    owner_.idle_connections_.push_back(self);
  } else {
    Close();
  }
  owner_.CompleteCall(call_id, std::move(response), CallProgress::kSent);
}

void Client::Impl::Connection::CloseAndFailCall(std::string_view description,
                                                const ErrorCode& ec) {
  const auto self = shared_from_this();
  const uint64_t call_id = call_id_;
  Close();
  if (call_id != 0) {
    owner_.CompleteCall(
        call_id,
        absl::UnavailableError(
            fmt::format("{}: {}: {}", owner_.host_, description, ec.message())),
        progress_);
  }
}

void Client::Impl::Connection::PostCloseAndFailCall(const ErrorCode& ec) {
  asio::post(socket_.get_executor(),
             [self = shared_from_this(), call_id = call_id_, ec] {
               if (!self->closed_ && self->call_id_ == call_id) {
                 self->CloseAndFailCall("can't send", ec);
               }
             });
}

void Client::Impl::Connection::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  ErrorCode ec;
  socket_.close(ec);
  const auto self = shared_from_this();
  owner_.busy_connections_.erase(call_id_);
  std::erase(owner_.idle_connections_, self);
  call_id_ = 0;
}

uint64_t Client::Impl::Call(Request request,
                            Duration timeout,
                            CallHook done,
                            ConnectionUse use) {
  const uint64_t call_id = ++last_call_id_;
  const bool valid =
      IsValidToken(request.method) && IsValidTarget(request.target);
  const Instant deadline = MonotonicClock::now() + timeout;
  calls_.emplace(
      call_id, PendingCall{std::move(request), std::move(done), deadline, use});
  deadlines_.emplace(deadline, call_id);
  if (!valid) {
    PostCompleteCall(
        call_id, absl::InvalidArgumentError("method or target is malformed"),
        CallProgress::kNotSent);
    return call_id;
  }
  ScheduleDeadlineTimer();
  queued_calls_.push_back(call_id);
  SendQueuedCalls();
  return call_id;
}

void Client::Impl::SendQueuedCalls() {
  while (!queued_calls_.empty()) {
    const uint64_t call_id = queued_calls_.front();
    const auto it = calls_.find(call_id);
    if (it == calls_.end() || it->second.aborted) {
      queued_calls_.pop_front();
      continue;
    }
    auto connection =
        it->second.use == ConnectionUse::kAny ? TakeIdleConnection() : nullptr;
    if (!connection) {
      if (busy_connections_.size() >= settings_.max_connections) {
        return;
      }
      if (busy_connections_.size() + idle_connections_.size() >=
          settings_.max_connections) {
        // The least recently used one is at the front.
        const auto oldest = idle_connections_.front();
        oldest->Close();
      }
      connection = std::make_shared<Connection>(*this, context_);
    }
    queued_calls_.pop_front();
    busy_connections_.emplace(call_id, connection);
    connection->Send(call_id, it->second.request);
  }
}

std::shared_ptr<Client::Impl::Connection> Client::Impl::TakeIdleConnection() {
  if (idle_connections_.empty()) {
    return nullptr;
  }
  auto connection = idle_connections_.back();
  if (connection->idle_since() + settings_.idle_timeout <
      MonotonicClock::now()) {
    // The most recently used one is at the back, so all others have expired
    // too.
    const auto old = std::exchange(idle_connections_, {});
    std::ranges::for_each(old, [](const auto& it) { it->Close(); });
    return nullptr;
  }
  idle_connections_.pop_back();
  return connection;
}

void Client::Impl::CloseConnectionsIdleSince(Instant since) {
  // The most recently used one is at the back.
  const auto end = std::ranges::find_if(
      idle_connections_,
      [since](const auto& it) { return it->idle_since() >= since; });
  const std::vector<std::shared_ptr<Connection>> old(idle_connections_.begin(),
                                                     end);
  std::ranges::for_each(old, [](const auto& it) { it->Close(); });
}

void Client::Impl::AbortCall(uint64_t call_id, absl::Status status) {
  const auto pending = calls_.find(call_id);
  if (pending == calls_.end() || pending->second.aborted) {
    return;
  }
  pending->second.aborted = true;
  CallProgress progress = CallProgress::kNotSent;
  const auto busy = busy_connections_.find(call_id);
  if (busy != busy_connections_.end()) {
    const auto connection = busy->second;
    progress = connection->progress();
    if (absl::IsDeadlineExceeded(status)) {
      // The other connections may be as silent as this one. A call over each of
      // them would have to time out before a new one is opened.
      CloseConnectionsIdleSince(connection->sent_at());
    }
    connection->Close();
  }
  PostCompleteCall(call_id, std::move(status), progress);
}

void Client::Impl::PostCompleteCall(uint64_t call_id,
                                    absl::Status status,
                                    CallProgress progress) {
  asio::post(context_, [weak = weak_from_this(), call_id,
                        status = std::move(status), progress] {
    if (const auto self = weak.lock()) {
      self->CompleteCall(call_id, status, progress);
    }
  });
}

void Client::Impl::CompleteCall(uint64_t call_id,
                                absl::StatusOr<Response> response,
                                CallProgress progress) {
  const auto it = calls_.find(call_id);
  if (it == calls_.end()) {
    return;
  }
  CallHook done = std::move(it->second.done);
  deadlines_.erase({it->second.deadline, call_id});
  calls_.erase(it);
  SendQueuedCalls();
  if (!shut_down_) {
    done({std::move(response), progress});
  }
}

void Client::Impl::ScheduleDeadlineTimer() {
  if (deadlines_.empty() || deadlines_.begin()->first >= timer_expiry_) {
    return;
  }
  timer_expiry_ = deadlines_.begin()->first;
  deadline_timer_.expires_at(
      std::chrono::steady_clock::time_point(timer_expiry_.time_since_epoch()));
  deadline_timer_.async_wait([weak = weak_from_this()](const ErrorCode& ec) {
    const auto self = weak.lock();
    if (!ec && self) {
      self->OnDeadlineTimer();
    }
  });
}

void Client::Impl::OnDeadlineTimer() {
  timer_expiry_ = Instant::max();
  const Instant now = MonotonicClock::now();
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const uint64_t call_id = deadlines_.begin()->second;
    deadlines_.erase(deadlines_.begin());
    AbortCall(call_id, absl::DeadlineExceededError(
                           fmt::format("{}: no response in time", host_)));
  }
  ScheduleDeadlineTimer();
}

void Client::Impl::Close() {
  shut_down_ = true;
  deadline_timer_.cancel();
  queued_calls_.clear();
  calls_.clear();
  deadlines_.clear();
  const auto busy = std::exchange(busy_connections_, {});
  for (const auto& [call_id, connection] : busy) {
    connection->Close();
  }
  const auto idle = std::exchange(idle_connections_, {});
  std::ranges::for_each(idle, [](const auto& it) { it->Close(); });
}

void Client::Impl::Shutdown() {
  shut_down_ = true;
  if (context_.stopped()) {
    Close();
    return;
  }
  asio::post(context_, [self = shared_from_this()] { self->Close(); });
}

Client::Client(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

Client::~Client() {
  try {
    impl_->Shutdown();
  } catch (const std::exception&) {
    // Posting failed for lack of memory. The io_context frees the connections
    // with their pending operations.
  }
}

std::unique_ptr<Client> Client::Create(asio::io_context& context,
                                       ClientSettings settings) {
  auto impl = std::make_shared<Impl>(context, std::move(settings));
  return std::unique_ptr<Client>(new Client(std::move(impl)));
}

uint64_t Client::Call(Request request,
                      Duration timeout,
                      CallHook done,
                      ConnectionUse use) {
  return impl_->Call(std::move(request), timeout, std::move(done), use);
}

void Client::Cancel(uint64_t call_id) {
  impl_->AbortCall(call_id, absl::CancelledError("the call was cancelled"));
}

absl::StatusOr<Response> CallOnce(const ClientSettings& settings,
                                  Request request,
                                  Duration timeout) {
  asio::io_context context(1);
  absl::StatusOr<Response> response =
      absl::UnknownError("the call ended without a result");
  const auto client = Client::Create(context, settings);
  client->Call(std::move(request), timeout, [&](CallResult result) {
    response = std::move(result.response);
    context.stop();
  });
  context.run();
  return response;
}

}  // namespace filbertwick::http

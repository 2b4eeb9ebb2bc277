#include "filbertwick/http/server.h"

#include <absl/status/status.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <exception>
#include <optional>
#include <unordered_set>
#include <utility>

#include "filbertwick/http/format.h"

namespace filbertwick::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Parser = beast::http::request_parser<beast::http::string_body>;

constexpr size_t kHeadReadBytes = 4 * 1024;
constexpr size_t kBodyReadBytes = 64 * 1024;
constexpr int kAcceptBacklog = 1024;
/// How long a closing connection waits for the other end to close.
constexpr Duration kDrainTime = std::chrono::seconds(2);
/// How long an idle connection still takes a request after StopAccepting().
constexpr Duration kStopGrace = std::chrono::milliseconds(500);
constexpr Duration kMinSweep = std::chrono::milliseconds(5);
constexpr Duration kMaxSweep = std::chrono::milliseconds(500);
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

Response Refusal(int status, std::string_view reason) {
  return {status,
          {{"Content-Type", "application/json"}},
          fmt::format("{{\"reason\":\"{}\",\"not_run\":true}}\n", reason)};
}

Response RefusalOf(const ErrorCode& ec) {
  if (ec == beast::http::error::body_limit) {
    return Refusal(413, "body_too_large");
  }
  if (ec == beast::http::error::header_limit) {
    return Refusal(431, "header_too_large");
  }
  return Refusal(400, "malformed_request");
}

/// True when a response of this status carries no body by its nature.
bool IsBodiless(int status) {
  return status < 200 || status == 204 || status == 304;
}

Request ToRequest(Parser& parser, uint64_t number) {
  auto message = parser.release();
  Request request;
  request.number = number;
  request.method = message.method_string();
  request.target = message.target();
  for (const auto& field : message) {
    request.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

std::string FormatHead(const Response& response, bool keep_alive) {
  const auto status = static_cast<unsigned>(response.status);
  const auto reason =
      beast::http::obsolete_reason(beast::http::int_to_status(status));
  std::string head;
  head.reserve(256);
  head += "HTTP/1.1 ";
  head += fmt::format_int(status).str();
  head += ' ';
  head.append(reason.data(), reason.size());
  head += "\r\n";
  AppendHeaders(response.headers, head);
  if (!IsBodiless(response.status)) {
    AppendContentLength(response.body.size(), head);
  }
  if (!keep_alive) {
    head += "Connection: close\r\n";
  }
  head += "\r\n";
  return head;
}

}  // namespace

/// The listening socket and all connections.
class Server::Impl : public std::enable_shared_from_this<Server::Impl> {
 public:
  Impl(asio::io_context& context,
       ServerSettings settings,
       Handler handler,
       GoneHook gone)
      : context_(context),
        acceptor_(context),
        sweep_timer_(context),
        settings_(std::move(settings)),
        handler_(std::move(handler)),
        gone_(std::move(gone)) {}

  absl::Status Listen();
  void Start();
  void StopAccepting();
  void Close();
  /// Ends everything; called on the context's thread, no hook runs after it.
  void Shutdown();
  /// Stops accepting, on the context's thread.
  void SetLimits(const RequestLimits& limits) {
    static_cast<RequestLimits&>(settings_) = limits;
  }
  void PostStop();

  uint16_t port() const { return port_; }
  size_t open_connections() const { return open_connections_; }

 private:
  class Connection;

  void Accept();
  void OnAccept(const ErrorCode& ec, Tcp::socket socket);
  void ScheduleSweep();
  void Sweep();
  void Remove(const std::shared_ptr<Connection>& connection);

  asio::io_context& context_;
  Tcp::acceptor acceptor_;
  asio::steady_timer sweep_timer_;
  ServerSettings settings_;
  const Handler handler_;
  const GoneHook gone_;
  std::unordered_set<std::shared_ptr<Connection>> connections_;
  std::atomic<size_t> open_connections_ = 0;
  std::atomic<bool> abandoned_ = false;
  uint16_t port_ = 0;
  uint64_t last_number_ = 0;
  bool stopping_ = false;
  /// Accepting failed and is tried again at the next sweep.
  bool accept_failed_ = false;
  bool sweep_scheduled_ = false;
};

/// One connection; a read is always under way unless a further request waits.
class Server::Impl::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Impl& owner, Tcp::socket socket)
      : owner_(owner), socket_(std::move(socket)) {}

  void Start();
  void Respond(uint64_t number, Response response);
  void CheckDeadline(Instant now);
  /// Closes soon if no request is under way, else after its response.
  void Stop();
  void Close();

 private:
  enum class State {
    /// Waits for a request or takes it in.
    kReading,
    /// The handler has a request.
    kHandling,
    kWriting,
    /// The last response is sent; waits for the other end to close.
    kDraining,
    kClosed,
  };

  void Read();
  void OnRead(const ErrorCode& ec, size_t n);
  /// Works through what is read until more must come.
  void Process();
  /// Parses what is read; true when something changed.
  bool Parse();
  void ResetRequest();
  void OnHeaderDone();
  void Handle();
  void Write(Response response);
  void WriteRest(size_t written);
  void OnWritten();
  void Drain();

  Impl& owner_;
  Tcp::socket socket_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  State state_ = State::kReading;
  Instant deadline_;
  /// Deadline of the whole request, once its header is there.
  Instant read_deadline_;
  uint64_t number_ = 0;
  std::string head_;
  Response response_;
  bool read_pending_ = false;
  bool in_process_ = false;
  /// A byte of the present request has come.
  bool request_begun_ = false;
  bool header_done_ = false;
  bool head_only_ = false;
  bool keep_alive_ = true;
  bool stopping_ = false;
};

void Server::Impl::Connection::Start() {
  ErrorCode ec;
  socket_.non_blocking(true, ec);
  socket_.set_option(Tcp::no_delay(true), ec);
  ResetRequest();
  Read();
}

void Server::Impl::Connection::ResetRequest() {
  state_ = State::kReading;
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(owner_.settings_.max_header_bytes);
  parser_->body_limit(owner_.settings_.max_body_bytes);
  request_begun_ = false;
  header_done_ = false;
  deadline_ = MonotonicClock::now() +
              (stopping_ ? kStopGrace : owner_.settings_.idle_timeout);
}

void Server::Impl::Connection::Read() {
  // What is read ahead is parsed first: a read under way must not see the
  // buffer move.
  if (read_pending_ || (state_ != State::kReading && buffer_.size() > 0)) {
    return;
  }
  read_pending_ = true;
  const bool in_body =
      state_ == State::kReading && parser_ && parser_->is_header_done();
  socket_.async_read_some(
      buffer_.prepare(in_body ? kBodyReadBytes : kHeadReadBytes),
      [self = shared_from_this()](const ErrorCode& ec, size_t n) {
        self->OnRead(ec, n);
      });
}

void Server::Impl::Connection::OnRead(const ErrorCode& ec, size_t n) {
  read_pending_ = false;
  if (state_ == State::kClosed) {
    return;
  }
  if (ec) {
    Close();
    return;
  }
  if (state_ == State::kDraining) {
    Read();
    return;
  }
  buffer_.commit(n);
  Process();
}

void Server::Impl::Connection::Process() {
  if (in_process_) {
    return;
  }
  in_process_ = true;
  while (state_ == State::kReading && buffer_.size() > 0 && Parse()) {
  }
  in_process_ = false;
  if (state_ != State::kClosed) {
    Read();
  }
}

bool Server::Impl::Connection::Parse() {
  if (!request_begun_) {
    request_begun_ = true;
    const RequestLimits& limits = owner_.settings_;
    const Instant now = MonotonicClock::now();
    read_deadline_ = now + limits.read_timeout;
    deadline_ = now + std::min(limits.header_timeout, limits.read_timeout);
  }
  ErrorCode ec;
  const size_t n = parser_->put(buffer_.data(), ec);
  buffer_.consume(n);
  if (ec && ec != beast::http::error::need_more) {
    keep_alive_ = false;
    Write(RefusalOf(ec));
    return false;
  }
  if (parser_->is_done()) {
    Handle();
    return true;
  }
  OnHeaderDone();
  return n > 0;
}

void Server::Impl::Connection::OnHeaderDone() {
  if (header_done_ || !parser_->is_header_done()) {
    return;
  }
  header_done_ = true;
  deadline_ = read_deadline_;
  if (boost::algorithm::iequals(parser_->get()[beast::http::field::expect],
                                "100-continue")) {
    ErrorCode ec;
    socket_.write_some(asio::buffer(kContinue), ec);
  }
}

void Server::Impl::Connection::Handle() {
  state_ = State::kHandling;
  number_ = ++owner_.last_number_;
  keep_alive_ = parser_->get().keep_alive();
  head_only_ = parser_->get().method() == beast::http::verb::head;
  Request request = ToRequest(*parser_, number_);
  if (owner_.abandoned_) {
    Close();
    return;
  }
  // The responder may come back on any thread, also from inside the handler.
  owner_.handler_(std::move(request), [weak = weak_from_this(),
                                       executor = socket_.get_executor(),
                                       number = number_](Response response) {
    asio::dispatch(executor,
                   [weak, number, response = std::move(response)]() mutable {
                     if (const auto self = weak.lock()) {
                       self->Respond(number, std::move(response));
                     }
                   });
  });
}

void Server::Impl::Connection::Respond(uint64_t number, Response response) {
  if (state_ == State::kHandling && number == number_) {
    Write(std::move(response));
    Process();
  }
}

void Server::Impl::Connection::Write(Response response) {
  state_ = State::kWriting;
  if (response.status == kNoResponse) {
    Close();
    return;
  }
  deadline_ = MonotonicClock::now() + owner_.settings_.idle_timeout;
  response_ = std::move(response);
  keep_alive_ =
      keep_alive_ && !stopping_ &&
      !boost::algorithm::iequals(response_.FindHeader("Connection"), "close");
  head_ = FormatHead(response_, keep_alive_);
  if (head_only_ || IsBodiless(response_.status)) {
    response_.body.clear();
  }
  WriteRest(0);
}

void Server::Impl::Connection::WriteRest(size_t written) {
  const size_t head_left = head_.size() - std::min(written, head_.size());
  const size_t body_left =
      response_.body.size() - (written - (head_.size() - head_left));
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(head_.data() + head_.size() - head_left, head_left),
      asio::buffer(response_.body.data() + response_.body.size() - body_left,
                   body_left)};
  // Most responses fit the socket's buffer: no wait, no completion handler.
  ErrorCode ec;
  const size_t n = socket_.write_some(buffers, ec);
  if (ec && ec != asio::error::would_block) {
    Close();
    return;
  }
  if (n == head_left + body_left) {
    OnWritten();
    return;
  }
  socket_.async_wait(Tcp::socket::wait_write,
                     [self = shared_from_this(),
                      written = written + n](const ErrorCode& wait_ec) {
                       if (self->state_ != State::kWriting) {
                         return;
                       }
                       if (wait_ec) {
                         self->Close();
                         return;
                       }
                       self->WriteRest(written);
                       self->Process();
                     });
}

void Server::Impl::Connection::OnWritten() {
  response_ = Response();
  if (keep_alive_) {
    ResetRequest();
  } else {
    Drain();
  }
}

void Server::Impl::Connection::Drain() {
  // Closing with unread bytes would reset the connection and may destroy the
  // response on its way: read until the other end closes.
  state_ = State::kDraining;
  deadline_ = MonotonicClock::now() + kDrainTime;
  buffer_.clear();
  ErrorCode ec;
  socket_.shutdown(Tcp::socket::shutdown_send, ec);
}

void Server::Impl::Connection::CheckDeadline(Instant now) {
  if (state_ == State::kHandling || now < deadline_) {
    return;
  }
  if (state_ == State::kReading && request_begun_) {
    keep_alive_ = false;
    Write(Refusal(408, "request_timeout"));
    Process();
    return;
  }
  Close();
}

void Server::Impl::Connection::Stop() {
  stopping_ = true;
  if (state_ == State::kReading && !request_begun_) {
    deadline_ = std::min(deadline_, MonotonicClock::now() + kStopGrace);
  }
}

void Server::Impl::Connection::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  const bool gone = state_ == State::kHandling;
  state_ = State::kClosed;
  ErrorCode ec;
  socket_.close(ec);
  const auto self = shared_from_this();
  if (gone && owner_.gone_ && !owner_.abandoned_) {
    owner_.gone_(number_);
  }
  owner_.Remove(self);
}

absl::Status Server::Impl::Listen() {
  ErrorCode ec;
  const auto address = asio::ip::make_address(settings_.host, ec);
  if (ec) {
    return absl::InvalidArgumentError(
        fmt::format("{} is no IP number", settings_.host));
  }
  const Tcp::endpoint endpoint(address, settings_.port);
  acceptor_.open(endpoint.protocol(), ec);
  if (!ec) {
    acceptor_.set_option(Tcp::acceptor::reuse_address(true), ec);
  }
  if (!ec) {
    acceptor_.bind(endpoint, ec);
  }
  if (!ec) {
    acceptor_.listen(kAcceptBacklog, ec);
  }
  if (ec) {
    return absl::UnavailableError(fmt::format("can't listen on {}:{}: {}",
                                              settings_.host, settings_.port,
                                              ec.message()));
  }
  port_ = acceptor_.local_endpoint().port();
  return absl::OkStatus();
}

void Server::Impl::Start() {
  Accept();
}

void Server::Impl::Accept() {
  acceptor_.async_accept(
      [self = shared_from_this()](const ErrorCode& ec, Tcp::socket socket) {
        self->OnAccept(ec, std::move(socket));
      });
}

void Server::Impl::OnAccept(const ErrorCode& ec, Tcp::socket socket) {
  if (stopping_ || ec == asio::error::operation_aborted) {
    return;
  }
  if (ec) {
    accept_failed_ = true;
    ScheduleSweep();
    return;
  }
  if (connections_.size() < settings_.max_connections) {
    const auto connection =
        std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    open_connections_ = connections_.size();
    connection->Start();
    ScheduleSweep();
  }
  Accept();
}

void Server::Impl::ScheduleSweep() {
  if (std::exchange(sweep_scheduled_, true)) {
    return;
  }
  const Duration shortest =
      std::min({settings_.header_timeout, settings_.read_timeout,
                settings_.idle_timeout});
  sweep_timer_.expires_after(std::clamp(shortest / 8, kMinSweep, kMaxSweep));
  sweep_timer_.async_wait([weak = weak_from_this()](const ErrorCode& ec) {
    const auto self = weak.lock();
    if (!ec && self) {
      self->Sweep();
    }
  });
}

void Server::Impl::Sweep() {
  sweep_scheduled_ = false;
  const Instant now = MonotonicClock::now();
  const std::vector<std::shared_ptr<Connection>> connections(
      connections_.begin(), connections_.end());
  for (const auto& connection : connections) {
    connection->CheckDeadline(now);
  }
  if (accept_failed_ && !stopping_) {
    accept_failed_ = false;
    Accept();
  }
  if (!connections_.empty()) {
    ScheduleSweep();
  }
}

void Server::Impl::StopAccepting() {
  stopping_ = true;
  ErrorCode ec;
  acceptor_.close(ec);
  std::ranges::for_each(connections_,
                        [](const auto& connection) { connection->Stop(); });
}

void Server::Impl::PostStop() {
  asio::dispatch(context_,
                 [self = shared_from_this()] { self->StopAccepting(); });
}

void Server::Impl::Shutdown() {
  abandoned_ = true;
  if (context_.stopped()) {
    Close();
    return;
  }
  asio::post(context_, [self = shared_from_this()] { self->Close(); });
}

void Server::Impl::Close() {
  StopAccepting();
  abandoned_ = true;
  sweep_timer_.cancel();
  while (!connections_.empty()) {
    const auto connection = *connections_.begin();
    connection->Close();
  }
}

void Server::Impl::Remove(const std::shared_ptr<Connection>& connection) {
  connections_.erase(connection);
  open_connections_ = connections_.size();
}

Server::Server(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

Server::~Server() {
  try {
    impl_->Shutdown();
  } catch (const std::exception&) {
    // Without memory to post the end, the context frees the rest.
  }
}

absl::StatusOr<std::unique_ptr<Server>> Server::Create(
    asio::io_context& context,
    ServerSettings settings,
    Handler handler,
    GoneHook gone) {
  auto impl = std::make_shared<Impl>(context, std::move(settings),
                                     std::move(handler), std::move(gone));
  if (absl::Status status = impl->Listen(); !status.ok()) {
    return status;
  }
  impl->Start();
  return std::unique_ptr<Server>(new Server(std::move(impl)));
}

uint16_t Server::port() const {
  return impl_->port();
}

void Server::SetLimits(const RequestLimits& limits) {
  impl_->SetLimits(limits);
}

void Server::StopAccepting() {
  impl_->PostStop();
}

size_t Server::open_connections() const {
  return impl_->open_connections();
}

}  // namespace filbertwick::http

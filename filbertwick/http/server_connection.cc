#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <chrono>
#include <iterator>
#include <string_view>
#include <utility>

#include "filbertwick/http/chunked_input.h"
#include "filbertwick/http/json_response.h"
#include "filbertwick/http/server_impl.h"
#include "filbertwick/http/server_message.h"

namespace filbertwick::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

/// Bytes of further requests that are read before the present one is answered.
constexpr size_t kMaxPipelinedBytes = 64 * 1024;
/// The same while the budget is short. Bytes are still read then, so that a
/// close by the client is noticed.
constexpr size_t kMinPipelinedBytes = 1024;
/// Memory of a parsed header field, besides its text.
constexpr size_t kHeaderFieldBytes = 96;
/// Retry-After for a client whose incomplete request had to go.
constexpr std::chrono::seconds kGiveUpRetryAfter{1};
/// How long a connection waits for the client to close after the last response.
constexpr Duration kLingerTimeout = std::chrono::seconds(2);
/// How long an idle connection still accepts a request after StopAccepting().
constexpr Duration kStopGracePeriod = std::chrono::milliseconds(500);
constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

/// Returns true if the connection has failed, also while bytes that arrived
/// before are unread.
bool IsReset(Tcp::socket& socket) {
  int error = 0;
  socklen_t size = sizeof(error);
  return getsockopt(socket.native_handle(), SOL_SOCKET, SO_ERROR, &error,
                    &size) != 0 ||
         error != 0;
}

}  // namespace

void Server::Impl::Connection::Start() {
  ErrorCode ec;
  socket_.non_blocking(true, ec);
  socket_.set_option(Tcp::no_delay(true), ec);
  id_ = owner_.budget().Add(MonotonicClock::now(), [this] { GiveUp(); });
  PrepareForRequest();
  Read();
}

void Server::Impl::Connection::PrepareForRequest() {
  state_ = State::kReading;
  parser_.emplace();
  parser_->eager(true);
  request_started_ = false;
  header_processed_ = false;
  header_bytes_ = 0;
  deadline_ = MonotonicClock::now() +
              (stopping_ ? kStopGracePeriod : owner_.settings_.idle_timeout);
}

void Server::Impl::Connection::Read() {
  if (input_ended_) {
    OnInputEnd();
    return;
  }
  if (read_wait_pending_) {
    return;
  }
  if (MaxReadBytes() == 0) {
    WaitForReset();
    return;
  }
  read_wait_pending_ = true;
  socket_.async_wait(Tcp::socket::wait_read,
                     [self = shared_from_this()](const ErrorCode& ec) {
                       self->OnReadable(ec);
                     });
}

size_t Server::Impl::Connection::MaxReadBytes() const {
  if (state_ == State::kReading || state_ == State::kLingering) {
    return kReadBytes;
  }
  const size_t limit =
      owner_.budget().MayReadAhead() ? kMaxPipelinedBytes : kMinPipelinedBytes;
  return std::min(kReadBytes, limit - std::min(limit, buffer_.size()));
}

void Server::Impl::Connection::OnReadable(const ErrorCode& ec) {
  read_wait_pending_ = false;
  if (state_ == State::kClosed) {
    return;
  }
  ErrorCode read_ec = ec;
  size_t n = 0;
  // The budget may have become short since the wait began.
  if (const size_t max = MaxReadBytes(); !ec && max > 0) {
    n = socket_.read_some(asio::buffer(owner_.read_buffer_.data(), max),
                          read_ec);
  }
  if (read_ec != asio::error::would_block) {
    OnRead(read_ec, n);
    UpdateHolding();
    owner_.budget().Relieve(MonotonicClock::now());
    return;
  }
  Read();
}

void Server::Impl::Connection::OnRead(const ErrorCode& ec, size_t n) {
  if (ec == asio::error::eof && state_ != State::kLingering) {
    OnInputEnd();
    return;
  }
  if (ec) {
    Close();
    return;
  }
  if (state_ == State::kLingering) {
    Read();
    return;
  }
  buffer_.commit(asio::buffer_copy(
      buffer_.prepare(n), asio::buffer(owner_.read_buffer_.data(), n)));
  ParseBuffered();
}

core::policy::ClientActivity Server::Impl::Connection::Activity() const {
  switch (state_) {
    case State::kReading:
      return request_started_ ? ClientActivity::kReceiving
                              : ClientActivity::kIdle;
    case State::kHandling:
      return ClientActivity::kWaiting;
    case State::kWriting:
      return ClientActivity::kSending;
    default:
      return ClientActivity::kClosing;
  }
}

size_t Server::Impl::Connection::HeldBytes() const {
  size_t bytes = buffer_.capacity() + head_.capacity() + response_.body.size();
  if (parser_ && request_started_) {
    bytes += header_bytes_ + parser_->get().body().capacity();
  }
  return bytes;
}

void Server::Impl::Connection::UpdateHolding() {
  if (state_ == State::kClosed) {
    return;
  }
  if (buffer_.size() == 0) {
    buffer_.shrink_to_fit();
  }
  owner_.budget().Update(MonotonicClock::now(), id_, Activity(), HeldBytes());
}

void Server::Impl::Connection::GiveUp() {
  if (state_ == State::kReading && request_started_) {
    Response response = MakeErrorResponse(503, "out_of_memory");
    AddRetryAfter(kGiveUpRetryAfter, response);
    RejectRequest(std::move(response));
    UpdateHolding();
    return;
  }
  Close();
}

void Server::Impl::Connection::WaitForReset() {
  if (std::exchange(reset_wait_pending_, true)) {
    return;
  }
  socket_.async_wait(Tcp::socket::wait_error,
                     [self = shared_from_this()](const ErrorCode& ec) {
                       self->reset_wait_pending_ = false;
                       if (!ec && IsReset(self->socket_)) {
                         self->Close();
                       }
                     });
}

void Server::Impl::Connection::OnInputEnd() {
  input_ended_ = true;
  // With the hook, a client that has closed its sending side counts as gone: it
  // may have closed the connection, and sent its request again elsewhere.
  if (state_ == State::kReading || owner_.on_disconnect_) {
    Close();
  }
}

void Server::Impl::Connection::ParseBuffered() {
  if (parsing_) {
    return;
  }
  parsing_ = true;
  while (state_ == State::kReading && buffer_.size() > 0 && ParseOnce()) {
  }
  parsing_ = false;
  if (state_ != State::kClosed) {
    UpdateHolding();
    Read();
  }
}

bool Server::Impl::Connection::ParseOnce() {
  if (!request_started_) {
    request_started_ = true;
    const RequestLimits& limits = owner_.settings_;
    parser_->header_limit(limits.max_header_bytes);
    parser_->body_limit(limits.max_body_bytes);
    const Instant now = MonotonicClock::now();
    request_deadline_ = now + limits.read_timeout;
    deadline_ = now + std::min(limits.header_timeout, limits.read_timeout);
  }
  if (NeedsMoreOfChunk(*parser_, buffer_.size())) {
    return false;
  }
  ErrorCode ec;
  const bool in_header = !parser_->is_header_done();
  const size_t n = parser_->put(buffer_.data(), ec);
  buffer_.consume(n);
  header_bytes_ += in_header ? n : 0;
  if (ec && ec != beast::http::error::need_more) {
    RejectRequest(MakeParseErrorResponse(ec));
    return false;
  }
  if (parser_->is_done()) {
    CallHandler();
    return true;
  }
  ProcessHeaderIfComplete();
  if (ec && IsChunkHeaderTooLarge(*parser_, buffer_.size(),
                                  owner_.settings_.max_header_bytes)) {
    RejectRequest(MakeErrorResponse(431, "chunk_header_too_large"));
    return false;
  }
  return n > 0;
}

void Server::Impl::Connection::RejectRequest(Response response) {
  keep_alive_ = false;
  SendResponse(std::move(response));
}

void Server::Impl::Connection::ProcessHeaderIfComplete() {
  if (header_processed_ || !parser_->is_header_done()) {
    return;
  }
  header_processed_ = true;
  deadline_ = request_deadline_;
  const auto& header = parser_->get();
  header_bytes_ += kHeaderFieldBytes * static_cast<size_t>(std::distance(
                                           header.begin(), header.end()));
  if (boost::algorithm::iequals(parser_->get()[beast::http::field::expect],
                                "100-continue")) {
    ErrorCode ec;
    socket_.write_some(asio::buffer(kContinueResponse), ec);
  }
}

bool Server::Impl::Connection::HasClientDisconnected() {
  char byte = 0;
  ErrorCode ec;
  socket_.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, ec);
  // Without the hook, a client that has closed its sending side only still gets
  // its response.
  const bool closed = ec == asio::error::eof && owner_.on_disconnect_;
  return closed || (!ec && IsReset(socket_)) ||
         (ec && ec != asio::error::eof && ec != asio::error::would_block);
}

void Server::Impl::Connection::CallHandler() {
  // The client may have sent the request again elsewhere, so it must not be
  // handled here as well.
  if (HasClientDisconnected()) {
    Close();
    return;
  }
  state_ = State::kHandling;
  request_number_ = ++owner_.last_request_number_;
  keep_alive_ = parser_->get().keep_alive();
  is_head_request_ = parser_->get().method() == beast::http::verb::head;
  Request request = ConvertRequest(parser_->release(), request_number_);
  parser_.reset();
  UpdateHolding();
  if (owner_.shut_down_) {
    Close();
    return;
  }
  // The responder may be called on any thread, and also from within the
  // handler.
  owner_.handler_(
      std::move(request),
      [weak = weak_from_this(), executor = socket_.get_executor(),
       number = request_number_](Response response) {
        asio::dispatch(
            executor, [weak, number, response = std::move(response)]() mutable {
              if (const auto self = weak.lock()) {
                self->Respond(number, std::move(response));
              }
            });
      });
}

void Server::Impl::Connection::Respond(uint64_t number, Response response) {
  if (state_ == State::kHandling && number == request_number_) {
    SendResponse(std::move(response));
    ParseBuffered();
  }
}

void Server::Impl::Connection::SendResponse(Response response) {
  state_ = State::kWriting;
  parser_.reset();
  if (response.status == kNoResponse) {
    Close();
    return;
  }
  deadline_ = MonotonicClock::now() + owner_.settings_.idle_timeout;
  response_ = std::move(response);
  keep_alive_ =
      keep_alive_ && !stopping_ &&
      !boost::algorithm::iequals(response_.FindHeader("Connection"), "close");
  head_ = FormatResponseHead(response_, keep_alive_);
  if (is_head_request_ || StatusForbidsBody(response_.status)) {
    response_.body.clear();
  }
  WriteRemaining(0);
}

void Server::Impl::Connection::WriteRemaining(size_t written) {
  const size_t head_left = head_.size() - std::min(written, head_.size());
  const size_t body_left =
      response_.body.size() - (written - (head_.size() - head_left));
  const std::array<asio::const_buffer, 2> buffers = {
      asio::buffer(head_.data() + head_.size() - head_left, head_left),
      asio::buffer(response_.body.data() + response_.body.size() - body_left,
                   body_left)};
  // Write directly first: most responses fit into the socket buffer and need
  // neither a wait nor a completion handler.
  ErrorCode ec;
  const size_t n = socket_.write_some(buffers, ec);
  if (ec && ec != asio::error::would_block) {
    Close();
    return;
  }
  if (n == head_left + body_left) {
    OnResponseSent();
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
                       self->WriteRemaining(written);
                       self->ParseBuffered();
                     });
}

void Server::Impl::Connection::OnResponseSent() {
  response_ = Response();
  head_ = {};
  if (keep_alive_) {
    PrepareForRequest();
  } else {
    StartLingeringClose();
  }
}

void Server::Impl::Connection::StartLingeringClose() {
  // Closing a socket with unread input sends a reset, which can make the client
  // lose a response that it has not read yet. So read until the client closes.
  state_ = State::kLingering;
  deadline_ = MonotonicClock::now() + kLingerTimeout;
  buffer_.clear();
  ErrorCode ec;
  socket_.shutdown(Tcp::socket::shutdown_send, ec);
}

void Server::Impl::Connection::CheckDeadline(Instant now) {
  if (state_ == State::kHandling || now < deadline_) {
    return;
  }
  if (state_ == State::kReading && request_started_) {
    RejectRequest(MakeErrorResponse(408, "request_timeout"));
    ParseBuffered();
    return;
  }
  Close();
}

void Server::Impl::Connection::CloseAfterCurrentRequest() {
  stopping_ = true;
  if (state_ == State::kReading && !request_started_) {
    deadline_ = std::min(deadline_, MonotonicClock::now() + kStopGracePeriod);
  }
}

void Server::Impl::Connection::Close() {
  if (state_ == State::kClosed) {
    return;
  }
  const bool response_pending = state_ == State::kHandling;
  state_ = State::kClosed;
  ErrorCode ec;
  socket_.close(ec);
  const auto self = shared_from_this();
  if (response_pending && owner_.on_disconnect_ && !owner_.shut_down_) {
    owner_.on_disconnect_(request_number_);
  }
  owner_.Remove(self);
}

}  // namespace filbertwick::http

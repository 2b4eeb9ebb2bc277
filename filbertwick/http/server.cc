#include "filbertwick/http/server.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <exception>
#include <iterator>
#include <ranges>
#include <utility>

#include "filbertwick/http/server_impl.h"

namespace filbertwick::http {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr int kAcceptBacklog = 1024;
/// Share of the connections that is closed together when their limit is
/// reached, so that they need not all be compared for each new one.
constexpr size_t kClosedShare = 64;
/// Deadlines are checked every eighth of the shortest timeout, within these
/// bounds.
constexpr Duration kMinDeadlineCheckInterval = std::chrono::milliseconds(5);
constexpr Duration kMaxDeadlineCheckInterval = std::chrono::milliseconds(500);

}  // namespace

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
  if (!ec && settings_.socket_buffer_bytes > 0) {
    // Connections inherit the sizes, before they are accepted. Where they can't
    // be set, those of the operating system hold.
    const int bytes = static_cast<int>(settings_.socket_buffer_bytes);
    ErrorCode ignored;
    acceptor_.set_option(Tcp::acceptor::receive_buffer_size(bytes), ignored);
    acceptor_.set_option(Tcp::acceptor::send_buffer_size(bytes), ignored);
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

void Server::Impl::StartAccepting() {
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
    ScheduleDeadlineCheck();
    return;
  }
  MakeRoomForConnection();
  if (connections_.size() < settings_.max_connections) {
    const auto connection =
        std::make_shared<Connection>(*this, std::move(socket));
    connection->Start();
    connections_.emplace(connection->id(), connection);
    open_connections_ = connections_.size();
    ScheduleDeadlineCheck();
  }
  Accept();
}

void Server::Impl::MakeRoomForConnection() {
  if (connections_.size() < settings_.max_connections) {
    return;
  }
  std::vector<core::policy::ClientHolding> holdings;
  std::ranges::transform(connections_ | std::views::keys,
                         std::back_inserter(holdings),
                         [this](uint64_t id) { return budget().holding(id); });
  const std::vector<uint64_t> chosen = core::policy::ChooseToFreeConnections(
      holdings, settings_.max_connections / kClosedShare + 1);
  for (const uint64_t id : chosen) {
    const auto connection = connections_.at(id);
    connection->Close();
  }
  budget().ReportClosed(ClientBudget::Shortage::kConnections, chosen.size());
}

void Server::Impl::ScheduleDeadlineCheck() {
  if (std::exchange(deadline_check_scheduled_, true)) {
    return;
  }
  const Duration shortest =
      std::min({settings_.header_timeout, settings_.read_timeout,
                settings_.idle_timeout});
  deadline_check_timer_.expires_after(std::clamp(
      shortest / 8, kMinDeadlineCheckInterval, kMaxDeadlineCheckInterval));
  deadline_check_timer_.async_wait(
      [weak = weak_from_this()](const ErrorCode& ec) {
        const auto self = weak.lock();
        if (!ec && self) {
          self->CheckDeadlines();
        }
      });
}

void Server::Impl::CheckDeadlines() {
  deadline_check_scheduled_ = false;
  const Instant now = MonotonicClock::now();
  std::vector<std::shared_ptr<Connection>> connections;
  std::ranges::copy(connections_ | std::views::values,
                    std::back_inserter(connections));
  for (const auto& connection : connections) {
    connection->CheckDeadline(now);
  }
  if (accept_failed_ && !stopping_) {
    accept_failed_ = false;
    Accept();
  }
  if (!connections_.empty()) {
    ScheduleDeadlineCheck();
  }
}

void Server::Impl::StopAccepting() {
  stopping_ = true;
  ErrorCode ec;
  acceptor_.close(ec);
  for (const auto& connection : connections_ | std::views::values) {
    connection->CloseAfterCurrentRequest();
  }
}

void Server::Impl::DispatchStopAccepting() {
  asio::dispatch(context_,
                 [self = shared_from_this()] { self->StopAccepting(); });
}

void Server::Impl::Shutdown() {
  shut_down_ = true;
  if (context_.stopped()) {
    Close();
    return;
  }
  asio::post(context_, [self = shared_from_this()] { self->Close(); });
}

void Server::Impl::Close() {
  StopAccepting();
  shut_down_ = true;
  deadline_check_timer_.cancel();
  while (!connections_.empty()) {
    const auto connection = connections_.begin()->second;
    connection->Close();
  }
}

void Server::Impl::Remove(const std::shared_ptr<Connection>& connection) {
  budget().Remove(connection->id());
  connections_.erase(connection->id());
  open_connections_ = connections_.size();
}

Server::Server(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

Server::~Server() {
  try {
    impl_->Shutdown();
  } catch (const std::exception&) {
    // Posting failed for lack of memory. The io_context frees the connections
    // with their pending operations.
  }
}

absl::StatusOr<std::unique_ptr<Server>> Server::Create(
    asio::io_context& context,
    ServerSettings settings,
    Handler handler,
    DisconnectHook on_disconnect) {
  auto impl =
      std::make_shared<Impl>(context, std::move(settings), std::move(handler),
                             std::move(on_disconnect));
  if (absl::Status status = impl->Listen(); !status.ok()) {
    return status;
  }
  impl->StartAccepting();
  return std::unique_ptr<Server>(new Server(std::move(impl)));
}

uint16_t Server::port() const {
  return impl_->port();
}

void Server::SetLimits(const RequestLimits& limits) {
  impl_->SetLimits(limits);
}

void Server::StopAccepting() {
  impl_->DispatchStopAccepting();
}

size_t Server::open_connections() const {
  return impl_->open_connections();
}

}  // namespace filbertwick::http

#include "soak/relay.h"

#include <absl/status/status.h>
#include <fmt/format.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <set>
#include <utility>

namespace filbertwick::soak {
namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;
using Tcp = asio::ip::tcp;

/// One-way delay of each chunk under kDelay, about that of a link to another
/// continent.
constexpr Duration kAddedDelay = std::chrono::milliseconds(150);
constexpr size_t kChunkBytes = 16 * 1024;

Tcp::endpoint ToEndpoint(const platform::Address& address) {
  return {asio::ip::make_address(address.host), address.port};
}

/// Closes the socket with a TCP reset instead of a FIN.
void Reset(Tcp::socket& socket) {
  ErrorCode ec;
  socket.set_option(asio::socket_base::linger(true, 0), ec);
  socket.close(ec);
}

}  // namespace

class Relay::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, const platform::Address& server)
      : context_(context), server_(ToEndpoint(server)), acceptor_(context) {}

  absl::Status Listen(const platform::Address& listen) {
    const Tcp::endpoint endpoint = ToEndpoint(listen);
    ErrorCode ec;
    acceptor_.open(endpoint.protocol(), ec);
    acceptor_.set_option(Tcp::acceptor::reuse_address(true), ec);
    acceptor_.bind(endpoint, ec);
    if (!ec) {
      acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec) {
      return absl::UnavailableError(fmt::format(
          "can't listen on {}:{}: {}", listen.host, listen.port, ec.message()));
    }
    Accept();
    return absl::OkStatus();
  }

  void SetMode(RelayMode mode);
  void ResetAll();

 private:
  /// A client connection and its connection to the server.
  struct Link : std::enable_shared_from_this<Link> {
    explicit Link(asio::io_context& context)
        : client(context), server(context) {}
    Tcp::socket client;
    Tcp::socket server;
    bool lost_bytes = false;
  };

  /// One direction of a link, with the chunk that is being forwarded.
  struct Direction : std::enable_shared_from_this<Direction> {
    Direction(asio::io_context& context,
              std::shared_ptr<Link> its_link,
              bool is_to_server)
        : link(std::move(its_link)), to_server(is_to_server), timer(context) {}
    Tcp::socket& from() { return to_server ? link->client : link->server; }
    Tcp::socket& to() { return to_server ? link->server : link->client; }

    std::shared_ptr<Link> link;
    bool to_server;
    asio::steady_timer timer;
    std::array<char, kChunkBytes> buf{};
  };

  void Accept();
  void Connect(const std::shared_ptr<Link>& link);
  void Pump(const std::shared_ptr<Direction>& direction);
  void Forward(const std::shared_ptr<Direction>& direction, size_t n);
  void Write(const std::shared_ptr<Direction>& direction, size_t n);
  void ResetLink(const std::shared_ptr<Link>& link);
  bool Discards(bool to_server) const;

  asio::io_context& context_;
  const Tcp::endpoint server_;
  Tcp::acceptor acceptor_;
  RelayMode mode_ = RelayMode::kPass;
  std::set<std::shared_ptr<Link>> links_;
};

bool Relay::Impl::Discards(bool to_server) const {
  return mode_ == RelayMode::kDiscardBoth ||
         (to_server ? mode_ == RelayMode::kDiscardToServer
                    : mode_ == RelayMode::kDiscardToClient);
}

void Relay::Impl::SetMode(RelayMode mode) {
  mode_ = mode;
  if (mode != RelayMode::kPass) {
    return;
  }
  const auto links = links_;
  for (const auto& link : links) {
    if (link->lost_bytes) {
      ResetLink(link);
    }
  }
}

void Relay::Impl::ResetAll() {
  const auto links = std::exchange(links_, {});
  for (const auto& link : links) {
    ResetLink(link);
  }
}

void Relay::Impl::Accept() {
  acceptor_.async_accept(
      [weak = weak_from_this()](const ErrorCode& ec, Tcp::socket socket) {
        const auto self = weak.lock();
        if (!self || ec == asio::error::operation_aborted) {
          return;
        }
        if (!ec && self->mode_ == RelayMode::kReset) {
          Reset(socket);
        } else if (!ec) {
          const auto link = std::make_shared<Link>(self->context_);
          link->client = std::move(socket);
          self->Connect(link);
        }
        self->Accept();
      });
}

void Relay::Impl::Connect(const std::shared_ptr<Link>& link) {
  links_.insert(link);
  link->server.async_connect(
      server_, [weak = weak_from_this(), link](const ErrorCode& ec) {
        const auto self = weak.lock();
        if (!self || ec) {
          Reset(link->client);
          if (self) {
            self->links_.erase(link);
          }
          return;
        }
        ErrorCode ignored;  // Failure only adds latency.
        link->client.set_option(Tcp::no_delay(true), ignored);
        link->server.set_option(Tcp::no_delay(true), ignored);
        self->Pump(std::make_shared<Direction>(self->context_, link, true));
        self->Pump(std::make_shared<Direction>(self->context_, link, false));
      });
}

void Relay::Impl::Pump(const std::shared_ptr<Direction>& direction) {
  direction->from().async_read_some(
      asio::buffer(direction->buf),
      [weak = weak_from_this(), direction](const ErrorCode& ec, size_t n) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        if (ec) {
          self->ResetLink(direction->link);
          return;
        }
        self->Forward(direction, n);
      });
}

void Relay::Impl::Forward(const std::shared_ptr<Direction>& direction,
                          size_t n) {
  if (Discards(direction->to_server)) {
    direction->link->lost_bytes = true;
    Pump(direction);
    return;
  }
  if (mode_ != RelayMode::kDelay) {
    Write(direction, n);
    return;
  }
  direction->timer.expires_after(kAddedDelay);
  direction->timer.async_wait(
      [weak = weak_from_this(), direction, n](const ErrorCode& ec) {
        const auto self = weak.lock();
        if (!ec && self) {
          self->Write(direction, n);
        }
      });
}

void Relay::Impl::Write(const std::shared_ptr<Direction>& direction, size_t n) {
  asio::async_write(
      direction->to(), asio::buffer(direction->buf.data(), n),
      [weak = weak_from_this(), direction](const ErrorCode& ec, size_t) {
        const auto self = weak.lock();
        if (!self) {
          return;
        }
        if (ec) {
          self->ResetLink(direction->link);
          return;
        }
        self->Pump(direction);
      });
}

void Relay::Impl::ResetLink(const std::shared_ptr<Link>& link) {
  // A close by one side is passed on as a reset, even while bytes are
  // discarded: on a real network both kernels would eventually notice it as
  // well.
  Reset(link->client);
  Reset(link->server);
  links_.erase(link);
}

Relay::Relay(std::shared_ptr<Impl> impl) : impl_(std::move(impl)) {}

Relay::~Relay() = default;

absl::StatusOr<std::unique_ptr<Relay>> Relay::Create(
    asio::io_context& context,
    const platform::Address& listen,
    const platform::Address& server) {
  auto impl = std::make_shared<Impl>(context, server);
  if (absl::Status status = impl->Listen(listen); !status.ok()) {
    return status;
  }
  return std::unique_ptr<Relay>(new Relay(std::move(impl)));
}

void Relay::SetMode(RelayMode mode) {
  impl_->SetMode(mode);
}

void Relay::ResetAll() {
  impl_->ResetAll();
}

}  // namespace filbertwick::soak

#include "filbertwick/net/datagram_port.h"

#include <fmt/format.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <utility>
#include <vector>

namespace filbertwick::net {
namespace {

namespace asio = boost::asio;
using Udp = asio::ip::udp;
using boost::system::error_code;

/// Maximum number of datagrams received per wake-up, so that a flood of
/// datagrams does not delay timers without bound.
constexpr int kMaxDatagramsPerWakeup = 64;

}  // namespace

class DatagramPort::Impl
    : public std::enable_shared_from_this<DatagramPort::Impl> {
 public:
  Impl(asio::io_context& context, DatagramHooks hooks)
      : socket_(context),
        hooks_(std::move(hooks)),
        receive_buffer_(64 * 1024) {}

  absl::Status Open(const std::string& host, uint16_t port) {
    error_code ec;
    const auto address = asio::ip::make_address(host, ec);
    if (!ec) {
      socket_.open(Udp::v4(), ec);
    }
    if (!ec) {
      socket_.bind(Udp::endpoint(address, port), ec);
    }
    if (!ec) {
      socket_.non_blocking(true, ec);
    }
    return ec ? absl::UnavailableError(fmt::format("can't bind UDP {}:{}: {}",
                                                   host, port, ec.message()))
              : absl::OkStatus();
  }

  void WaitForDatagrams() {
    socket_.async_wait(Udp::socket::wait_read,
                       [self = shared_from_this()](error_code ec) {
                         if (!ec) {
                           self->HandleReadable();
                         }
                       });
  }

  void Close() {
    closed_ = true;
    error_code ec;
    socket_.close(ec);
  }

  bool Send(const Udp::endpoint& to, std::string_view bytes) {
    error_code ec;
    socket_.send_to(asio::buffer(bytes.data(), bytes.size()), to, 0, ec);
    return !ec;
  }

  uint16_t port() const {
    error_code ec;
    return socket_.local_endpoint(ec).port();
  }

 private:
  void HandleReadable() {
    const bool more_left = ReceiveDatagrams();
    // A hook may have closed the port.
    if (!closed_) {
      hooks_.batch_ended(more_left);
      WaitForDatagrams();
    }
  }

  /// Returns false when no datagram is left.
  bool ReceiveDatagrams() {
    for (int n = 0; n < kMaxDatagramsPerWakeup && !closed_; ++n) {
      Udp::endpoint from;
      error_code ec;
      const size_t size =
          socket_.receive_from(asio::buffer(receive_buffer_), from, 0, ec);
      if (ec) {
        // No datagram is left, or an ICMP error arrived for an earlier send.
        return false;
      }
      hooks_.received(from, std::string_view(receive_buffer_.data(), size));
    }
    return true;
  }

  Udp::socket socket_;
  const DatagramHooks hooks_;
  std::vector<char> receive_buffer_;
  bool closed_ = false;
};

DatagramPort::DatagramPort(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

DatagramPort::~DatagramPort() {
  impl_->Close();
}

absl::StatusOr<std::unique_ptr<DatagramPort>> DatagramPort::Create(
    asio::io_context& context,
    const std::string& host,
    uint16_t port,
    DatagramHooks hooks) {
  auto impl = std::make_shared<Impl>(context, std::move(hooks));
  if (absl::Status status = impl->Open(host, port); !status.ok()) {
    return status;
  }
  impl->WaitForDatagrams();
  return std::unique_ptr<DatagramPort>(new DatagramPort(std::move(impl)));
}

bool DatagramPort::Send(const Udp::endpoint& to, std::string_view bytes) {
  return impl_->Send(to, bytes);
}

uint16_t DatagramPort::port() const {
  return impl_->port();
}

}  // namespace filbertwick::net

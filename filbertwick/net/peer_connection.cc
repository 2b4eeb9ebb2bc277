#include "filbertwick/net/peer_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <utility>

#include "filbertwick/net/frame.h"
#include "filbertwick/wire/codec.h"

namespace filbertwick::net {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr size_t kReadBufferBytes = 64 * 1024;
/// Maximum size of a frame before the hello was verified. The connection is
/// closed if the length before a frame is larger.
constexpr size_t kMaxHelloBytes = 1024;
/// Maximum size of a frame after the hello: a message with its header.
constexpr size_t kMaxFrameBytes = wire::kMaxMessageBytes + kMaxHelloBytes;

uint32_t DecodeLength(std::string_view data) {
  return boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char*>(data.data()));
}

}  // namespace

std::shared_ptr<PeerConnection> PeerConnection::Create(
    asio::ip::tcp::socket socket,
    std::string challenge,
    FrameHook frame,
    ClosedHook closed) {
  return std::shared_ptr<PeerConnection>(
      new PeerConnection(std::move(socket), std::move(challenge),
                         std::move(frame), std::move(closed)));
}

PeerConnection::PeerConnection(asio::ip::tcp::socket socket,
                               std::string challenge,
                               FrameHook frame,
                               ClosedHook closed)
    : socket_(std::move(socket)),
      hello_timer_(socket_.get_executor()),
      challenge_(std::move(challenge)),
      on_frame_(std::move(frame)),
      on_closed_(std::move(closed)),
      read_buffer_(kReadBufferBytes) {}

void PeerConnection::Start(Duration timeout) {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  hello_timer_.expires_after(timeout);
  hello_timer_.async_wait([self = shared_from_this()](error_code ec) {
    if (!ec && self->open_ && self->peer_.name.empty()) {
      self->Fail();
    }
  });
  asio::async_write(socket_, asio::buffer(challenge_),
                    [self = shared_from_this()](error_code ec, size_t) {
                      if (ec && self->open_) {
                        self->Fail();
                      }
                    });
  Read();
}

void PeerConnection::Close() {
  open_ = false;
  error_code ignored;
  socket_.close(ignored);
  hello_timer_.cancel();
}

void PeerConnection::SetPeer(wire::Sender peer) {
  peer_ = std::move(peer);
  hello_timer_.cancel();
}

void PeerConnection::Read() {
  socket_.async_read_some(asio::buffer(read_buffer_),
                          [self = shared_from_this()](error_code ec, size_t n) {
                            if (!self->open_) {
                              return;
                            }
                            if (ec) {
                              self->Fail();
                              return;
                            }
                            self->received_.append(self->read_buffer_.data(),
                                                   n);
                            const bool keep = self->DispatchFrames();
                            if (!self->open_) {
                              return;
                            }
                            keep ? self->Read() : self->Fail();
                          });
}

bool PeerConnection::DispatchFrames() {
  std::string_view rest = received_;
  while (rest.size() >= kLengthBytes) {
    const size_t length = DecodeLength(rest);
    if (length > (peer_.name.empty() ? kMaxHelloBytes : kMaxFrameBytes)) {
      return false;
    }
    if (rest.size() < kLengthBytes + length) {
      break;
    }
    if (!on_frame_(*this, rest.substr(kLengthBytes, length)) || !open_) {
      return false;
    }
    rest.remove_prefix(kLengthBytes + length);
  }
  received_.erase(0, received_.size() - rest.size());
  return true;
}

void PeerConnection::Fail() {
  Close();
  on_closed_(*this);
}

}  // namespace filbertwick::net

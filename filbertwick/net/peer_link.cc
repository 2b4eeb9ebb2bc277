#include "filbertwick/net/peer_link.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace filbertwick::net {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

/// Messages are added to one write until it has at least this many bytes.
constexpr size_t kWriteTargetBytes = 256 * 1024;

}  // namespace

std::shared_ptr<PeerLink> PeerLink::Create(asio::io_context& context,
                                           const PeerLinkSettings& settings,
                                           StreamSealer sealer,
                                           PeerCounters& counters) {
  return std::shared_ptr<PeerLink>(
      new PeerLink(context, settings, std::move(sealer), counters));
}

PeerLink::PeerLink(asio::io_context& context,
                   const PeerLinkSettings& settings,
                   StreamSealer sealer,
                   PeerCounters& counters)
    : settings_(settings),
      sealer_(std::move(sealer)),
      counters_(counters),
      context_(context),
      socket_(context),
      timer_(context),
      random_(settings.seed),
      backoff_(settings.reconnect_min) {}

void PeerLink::Send(std::string body) {
  if (state_ == State::kClosed) {
    counters_.unreachable.Add();
    return;
  }
  if (queued_bytes_ + body.size() > settings_.max_queue_bytes) {
    counters_.queue_full.Add();
    return;
  }
  queued_bytes_ += body.size();
  queue_.push_back(std::move(body));
  if (state_ == State::kIdle) {
    Connect();
  } else if (state_ == State::kOpen) {
    Write();
  }
}

void PeerLink::Close() {
  DropQueue();
  state_ = State::kClosed;
  ++connection_number_;
  error_code ignored;
  socket_.close(ignored);
  timer_.cancel();
}

void PeerLink::Connect() {
  state_ = State::kConnecting;
  socket_ = asio::ip::tcp::socket(context_);
  const uint64_t connection = ++connection_number_;
  timer_.expires_after(settings_.connect_timeout);
  timer_.async_wait([self = shared_from_this(), connection](error_code ec) {
    if (!ec && self->connection_number_ == connection &&
        self->state_ == State::kConnecting) {
      self->Fail();
    }
  });
  socket_.async_connect(settings_.endpoint,
                        [self = shared_from_this(), connection](error_code ec) {
                          if (self->connection_number_ != connection) {
                            return;
                          }
                          ec ? self->Fail() : self->ReadChallenge();
                        });
}

void PeerLink::ReadChallenge() {
  error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  challenge_.assign(kChallengeBytes, '\0');
  asio::async_read(socket_, asio::buffer(challenge_),
                   [self = shared_from_this(), connection = connection_number_](
                       error_code ec, size_t) {
                     if (self->connection_number_ != connection) {
                       return;
                     }
                     ec ? self->Fail() : self->Open();
                   });
}

void PeerLink::Open() {
  state_ = State::kOpen;
  timer_.cancel();
  counters_.connects.Add();
  backoff_ = settings_.reconnect_min;
  WatchForClose();
  // The hello is sent first, in the same write as the queued messages.
  write_buffer_ = sealer_({}, challenge_);
  Write();
}

void PeerLink::WatchForClose() {
  // The accepting side sends nothing after its challenge, so the read completes
  // only when the connection closes.
  socket_.async_read_some(
      asio::buffer(&discarded_byte_, 1),
      [self = shared_from_this(), connection = connection_number_](error_code,
                                                                   size_t) {
        if (self->connection_number_ == connection) {
          self->Fail();
        }
      });
}

void PeerLink::Write() {
  if (write_active_ || (queue_.empty() && write_buffer_.empty())) {
    return;
  }
  while (!queue_.empty() && write_buffer_.size() < kWriteTargetBytes) {
    write_buffer_ += sealer_(queue_.front(), challenge_);
    queued_bytes_ -= queue_.front().size();
    queue_.pop_front();
    ++write_messages_;
  }
  write_active_ = true;
  asio::async_write(socket_, asio::buffer(write_buffer_),
                    [self = shared_from_this(),
                     connection = connection_number_](error_code ec, size_t n) {
                      if (self->connection_number_ != connection) {
                        return;
                      }
                      if (ec) {
                        self->Fail();
                        return;
                      }
                      self->counters_.sent.Add(self->write_messages_);
                      self->counters_.sent_bytes.Add(n);
                      self->write_active_ = false;
                      self->write_messages_ = 0;
                      self->write_buffer_.clear();
                      self->Write();
                    });
}

void PeerLink::Fail() {
  DropQueue();
  state_ = State::kBackoff;
  const uint64_t connection = ++connection_number_;
  error_code ignored;
  socket_.close(ignored);
  timer_.expires_after(NextBackoff());
  timer_.async_wait([self = shared_from_this(), connection](error_code ec) {
    if (ec || self->connection_number_ != connection) {
      return;
    }
    self->state_ = State::kIdle;
    if (!self->queue_.empty()) {
      self->Connect();
    }
  });
}

void PeerLink::DropQueue() {
  counters_.unreachable.Add(queue_.size() + write_messages_);
  queue_.clear();
  queued_bytes_ = 0;
  write_messages_ = 0;
  write_active_ = false;
}

Duration PeerLink::NextBackoff() {
  const Duration backoff = backoff_;
  backoff_ = std::min(backoff_ * 2, settings_.reconnect_max);
  // Jitter: between half of the backoff and the whole of it.
  const auto half = backoff.count() / 2;
  return Duration(
      half + static_cast<int64_t>(random_() % static_cast<uint64_t>(half + 1)));
}

}  // namespace filbertwick::net

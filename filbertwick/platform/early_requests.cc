#include "filbertwick/platform/early_requests.h"

#include <iterator>
#include <utility>

namespace filbertwick::platform {

EarlyRequests::EarlyRequests(boost::asio::io_context& context,
                             Duration max_hold,
                             size_t max_requests,
                             ExpiryHook expired)
    : timer_(context),
      max_hold_(max_hold),
      max_requests_(max_requests),
      expired_(std::move(expired)) {}

bool EarlyRequests::Add(const http::Request& request,
                        const http::Responder& respond,
                        core::policy::ClientReservation memory) {
  if (requests_.size() >= max_requests_) {
    return false;
  }
  requests_.push_back(
      {request, respond, MonotonicClock::now(), std::move(memory)});
  if (requests_.size() == 1) {
    AwaitExpiry();
  }
  return true;
}

void EarlyRequests::Remove(uint64_t number) {
  std::erase_if(requests_, [number](const EarlyRequest& early) {
    return early.request.number == number;
  });
}

std::vector<EarlyRequest> EarlyRequests::TakeAll() {
  timer_.cancel();
  std::deque<EarlyRequest> taken = std::exchange(requests_, {});
  return {std::make_move_iterator(taken.begin()),
          std::make_move_iterator(taken.end())};
}

void EarlyRequests::AwaitExpiry() {
  const Duration held = MonotonicClock::now() - requests_.front().arrived;
  timer_.expires_after(max_hold_ - held);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (ec) {
      return;
    }
    const Instant now = MonotonicClock::now();
    while (!requests_.empty() && now - requests_.front().arrived >= max_hold_) {
      const EarlyRequest early = std::move(requests_.front());
      requests_.pop_front();
      expired_(early);
    }
    if (!requests_.empty()) {
      AwaitExpiry();
    }
  });
}

}  // namespace filbertwick::platform

#ifndef FILBERTWICK_PLATFORM_EARLY_REQUESTS_H_
#define FILBERTWICK_PLATFORM_EARLY_REQUESTS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/policy/client_budget.h"
#include "filbertwick/http/server.h"

namespace filbertwick::platform {

/// A request that can't be handled yet.
struct EarlyRequest {
  http::Request request;
  http::Responder respond;
  Instant arrived;
  /// Released with the request.
  core::policy::ClientReservation memory;
};

/// Holds requests that arrive before the process knows what to do with them.
/// Right after a start the configuration is on its way; a caller who waits some
/// milliseconds is served better than one who is sent away. Bounded in number
/// and time. Not thread-safe: calls and hooks run on the context's thread.
class EarlyRequests {
 public:
  /// Receives a request that was held for `max_hold`.
  using ExpiryHook = std::function<void(const EarlyRequest&)>;

  EarlyRequests(boost::asio::io_context& context,
                Duration max_hold,
                size_t max_requests,
                ExpiryHook expired);

  /// Holds a request, for which `memory` is reserved; false when the limit is
  /// reached.
  bool Add(const http::Request& request,
           const http::Responder& respond,
           core::policy::ClientReservation memory = {});
  /// Drops the request with this number, whose caller has disconnected.
  void Remove(uint64_t number);
  /// Returns all requests, in order of arrival, and holds them no longer.
  std::vector<EarlyRequest> TakeAll();
  bool empty() const { return requests_.empty(); }

 private:
  void AwaitExpiry();

  boost::asio::steady_timer timer_;
  const Duration max_hold_;
  const size_t max_requests_;
  const ExpiryHook expired_;
  std::deque<EarlyRequest> requests_;
};

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_EARLY_REQUESTS_H_

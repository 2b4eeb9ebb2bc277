#include <criterion/criterion.h>

#include <boost/asio/io_context.hpp>
#include <vector>

#include "filbertwick/platform/early_requests.h"

namespace {

using filbertwick::Duration;
using filbertwick::http::Request;
using filbertwick::http::Response;
using filbertwick::platform::EarlyRequest;
using filbertwick::platform::EarlyRequests;

constexpr Duration kHold = std::chrono::milliseconds(5);
constexpr size_t kLimit = 2;

/// Holds requests and collects the numbers of those that expire.
struct Fixture {
  bool Add(uint64_t number) {
    Request request;
    request.number = number;
    return requests.Add(request, [](const Response&) {});
  }

  boost::asio::io_context context;
  std::vector<uint64_t> expired;
  EarlyRequests requests{context, kHold, kLimit,
                         [this](const EarlyRequest& early) {
                           expired.push_back(early.request.number);
                         }};
};

}  // namespace

Test(early_requests, returns_the_requests_in_order_of_arrival) {
  Fixture it;
  cr_assert(it.Add(1));
  cr_assert(it.Add(2));
  const auto taken = it.requests.TakeAll();
  cr_assert_eq(taken.size(), 2);
  cr_assert_eq(taken[0].request.number, 1);
  cr_assert_eq(taken[1].request.number, 2);
  it.context.run();
  cr_assert(it.expired.empty());
}

Test(early_requests, expires_what_is_held_for_too_long) {
  Fixture it;
  it.Add(1);
  it.Add(2);
  it.requests.Remove(1);
  it.context.run();
  cr_assert(it.expired == std::vector<uint64_t>{2});
  cr_assert(it.requests.empty());
}

Test(early_requests, holds_no_more_than_the_limit) {
  Fixture it;
  cr_assert(it.Add(1));
  cr_assert(it.Add(2));
  cr_assert_not(it.Add(3));
}

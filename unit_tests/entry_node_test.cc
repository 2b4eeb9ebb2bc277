#include <criterion/criterion.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <future>
#include <memory>
#include <string>

#include "filbertwick/core/direct/offer_split.h"
#include "filbertwick/platform/node.h"
#include "filbertwick/standin/platform_store.h"
#include "unit_tests/http_fixture.h"

namespace {

using filbertwick::Duration;
using filbertwick::InstanceName;
using filbertwick::LogLine;
using filbertwick::core::direct::kMaxOfferTextBytes;
using filbertwick::platform::CreateEntryNode;
using filbertwick::platform::Node;
using filbertwick::platform::PlatformSettings;
using filbertwick::standin::PlatformStore;
using filbertwick::test::LoopThread;
using filbertwick::test::RawConnection;

uint16_t FindFreePort() {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(context,
                                          {boost::asio::ip::tcp::v4(), 0});
  return acceptor.local_endpoint().port();
}

/// An entry that has read its configuration from a store stand-in: the route
/// h/p/, and h/w/ with a service too long for any job.
class TestEntry {
 public:
  explicit TestEntry(Duration configuration_bound) {
    settings_.name = InstanceName("entry");
    settings_.host = "127.0.0.1";
    settings_.is_entry = true;
    settings_.caller_listener = {"127.0.0.1", FindFreePort()};
    settings_.readiness_listener = {"127.0.0.1", FindFreePort()};
    settings_.peer_port = FindFreePort();
    settings_.configuration_bound = configuration_bound;
    std::promise<void> configured;
    loop_.Run([&] {
      store_ = *PlatformStore::Create(loop_.context(), "127.0.0.1", 0);
      store_->Put(
          "keyed.op", "config",
          R"({"version":3,"routes":[{"host":"h","path-prefix":"/p/","service":"s"},)"
          R"({"host":"h","path-prefix":"/w/","service":")" +
              std::string(kMaxOfferTextBytes, 's') + R"("}]})");
      settings_.store_address = {"127.0.0.1", store_->port()};
      node_ =
          *CreateEntryNode(settings_, 1,
                           {loop_.context(), counters_,
                            [&](const LogLine& line) {
                              if (line.event() == "configuration_in_force") {
                                configured.set_value();
                              }
                            },
                            [] {}});
    });
    configured.get_future().wait();
  }
  ~TestEntry() {
    loop_.Stop();
    node_.reset();
    store_.reset();
  }

  /// Submits a job and returns the response.
  std::string Submit(const std::string& path) {
    const std::string body =
        R"({"spec":"s","best-effort":true,"steps":[{"cpu":1}]})";
    RawConnection caller(settings_.caller_listener.port);
    caller.Send("POST " + path + "0123456789abcdef HTTP/1.1\r\nHost: h\r\n" +
                "Connection: close\r\nContent-Length: " +
                std::to_string(body.size()) + "\r\n\r\n" + body);
    return caller.ReadAll();
  }

  /// Returns the status line of the response to a GET request.
  std::string Get(const std::string& path) {
    RawConnection caller(settings_.caller_listener.port);
    caller.Send("GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n");
    return caller.Read(std::string("HTTP/1.1 404").size());
  }

 private:
  LoopThread loop_;
  filbertwick::Counters counters_;
  PlatformSettings settings_;
  std::unique_ptr<PlatformStore> store_;
  std::unique_ptr<Node> node_;
};

}  // namespace

Test(entry_node, denies_a_route_when_its_configuration_is_confirmed) {
  TestEntry entry(std::chrono::hours(1));
  cr_assert_eq(entry.Get("/q/"), "HTTP/1.1 404");
  cr_assert_eq(entry.Get("/p/"), "HTTP/1.1 200");
}

// A configuration that may lack a change of longer ago than the bound does not
// prove that there is no such route. A bound of zero makes every copy too old.
Test(entry_node, denies_no_route_from_an_unconfirmed_configuration) {
  TestEntry entry(Duration(0));
  cr_assert_eq(entry.Get("/q/"), "HTTP/1.1 503");
  cr_assert_eq(entry.Get("/p/"), "HTTP/1.1 200");
}

// A task that fits into no offer would wait until its time limit.
Test(entry_node, refuses_a_job_that_fits_into_no_offer_with_the_limit) {
  TestEntry entry(std::chrono::hours(1));
  const std::string answer = entry.Submit("/w/");
  cr_assert(answer.starts_with("HTTP/1.1 400"), "%s", answer.c_str());
  cr_assert(answer.find("11264") != std::string::npos, "%s", answer.c_str());
}

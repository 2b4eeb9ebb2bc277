#include "filbertwick/net/upstream_api.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "filbertwick/http/server.h"
#include "filbertwick/net/announcement.h"

namespace {

using filbertwick::Counters;
using filbertwick::Duration;
using filbertwick::JobId;
using filbertwick::ServiceName;
using filbertwick::http::Request;
using filbertwick::http::Responder;
using filbertwick::http::Response;
using filbertwick::http::Server;
using filbertwick::net::UpstreamApi;
using filbertwick::net::UpstreamApiHooks;
using filbertwick::net::UpstreamApiSettings;
using filbertwick::net::ViewHook;
namespace core = filbertwick::core;
namespace wire = filbertwick::wire;

/// Time limit of each wait, so that a hanging test fails. It is far longer than
/// any wait that succeeds.
constexpr std::chrono::seconds kTestTimeout(20);
constexpr Duration kLongTimeout = std::chrono::seconds(60);

/// A sidecar's UpstreamApi and an upstream server on one io_context.
struct Fixture {
  explicit Fixture(Duration announce_timeout = kLongTimeout) {
    UpstreamApiHooks hooks;
    hooks.post = [this](const core::Event& event) {
      if (const auto* upstream = std::get_if<core::UpstreamEvent>(&event)) {
        upstreams.push_back(*upstream);
      } else {
        ends.push_back(std::get<core::ExecutionEndedEvent>(event));
      }
    };
    hooks.request_view = [](const ViewHook& hook) {
      hook({});
      return true;
    };
    hooks.ready = [] { return true; };
    UpstreamApiSettings settings;
    settings.announce_timeout = announce_timeout;
    api = UpstreamApi::Create(context, settings, counters, std::move(hooks));
    auto created = Server::Create(
        context, {}, [this](const Request& request, const Responder& respond) {
          requests.push_back(request);
          RespondByPayload(request, respond);
        });
    cr_assert(created.ok());
    upstream = *std::move(created);
  }

  /// Responds as the upstream; the payload selects the response.
  void RespondByPayload(const Request& request, const Responder& respond) {
    Response response;
    if (request.method == "DELETE") {
      respond(response);
    } else if (request.body == "succeed") {
      response.body = "result";
      respond(response);
    } else if (request.body == "refuse") {
      response.status = 503;
      response.headers = {{"X-Not-Run", "1"}};
      respond(response);
    } else if (request.body == "busy") {
      response.status = 503;
      respond(response);
    } else if (request.body == "fail") {
      response.status = 500;
      response.body = "broken";
      respond(response);
    } else if (request.body == "large") {
      response.body = std::string(wire::kMaxTaskBytes + 1, 'x');
      respond(response);
    } else {
      // The request stays unanswered.
      unanswered.push_back(respond);
    }
  }

  Response Announce(const std::string& body) {
    Request request;
    request.method = "POST";
    request.target = "/v1/upstream";
    request.body = body;
    Response response;
    api->Handle(request, [&](Response given) { response = std::move(given); });
    return response;
  }

  void AnnounceUpstream(int slots = 8, bool leaving = false) {
    const Response response =
        Announce(fmt::format(R"({{"slots":{},"port":{},"leaving":{}}})", slots,
                             upstream->port(), leaving));
    cr_assert_eq(response.status, 200, "%s", response.body.c_str());
  }

  wire::TaskResult Run(const char* payload, Duration timeout = kLongTimeout) {
    core::StartExecutionEffect start;
    start.key = {JobId("job /1"), 3};
    start.attempt = 2;
    start.service = ServiceName("quote");
    start.timeout = timeout;
    start.payload = payload;
    const size_t before = ends.size();
    api->Start(std::move(start));
    RunUntil([&] { return ends.size() > before; });
    cr_assert(ends.back().key.index == 3 && ends.back().attempt == 2);
    return ends.back().result;
  }

  template <typename Condition>
  void RunUntil(Condition done) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!done()) {
      cr_assert(std::chrono::steady_clock::now() < end, "the wait timed out");
      context.restart();
      context.run_one_for(std::chrono::milliseconds(10));
    }
  }

  boost::asio::io_context context;
  Counters counters;
  std::vector<Request> requests;
  std::vector<Responder> unanswered;
  std::vector<core::UpstreamEvent> upstreams;
  std::vector<core::ExecutionEndedEvent> ends;
  std::unique_ptr<Server> upstream;
  std::unique_ptr<UpstreamApi> api;
};

Test(upstream_api, response_determines_the_task_outcome) {
  Fixture fixture;
  cr_assert(fixture.Run("succeed").outcome == wire::TaskOutcome::kNotRun,
            "a task ran before the first announcement");
  fixture.AnnounceUpstream();
  const wire::TaskResult good = fixture.Run("succeed");
  cr_assert(good.outcome == wire::TaskOutcome::kSucceeded);
  cr_assert(good.body == "result");
  cr_assert(fixture.requests[0].target == "/v1/tasks/job%20%2F1/3?attempt=2");
  cr_assert(fixture.Run("refuse").outcome == wire::TaskOutcome::kNotRun);
  cr_assert(fixture.Run("busy").outcome == wire::TaskOutcome::kRan);
  cr_assert(fixture.Run("fail").outcome == wire::TaskOutcome::kRan);
  cr_assert(fixture.Run("large").outcome == wire::TaskOutcome::kRan);
  cr_assert_eq(fixture.api->running(), 0);
}

Test(upstream_api, a_timeout_may_have_run_and_is_stopped) {
  Fixture fixture;
  fixture.AnnounceUpstream();
  const wire::TaskResult result =
      fixture.Run("hang", std::chrono::milliseconds(20));
  cr_assert(result.outcome == wire::TaskOutcome::kMayHaveRun);
  fixture.RunUntil([&] { return fixture.requests.size() == 2; });
  cr_assert(fixture.requests[1].method == "DELETE");
  cr_assert(fixture.requests[1].target == fixture.requests[0].target);
}

Test(upstream_api, a_lost_connection_may_have_run) {
  Fixture fixture;
  fixture.AnnounceUpstream();
  core::StartExecutionEffect start;
  start.payload = "hang";
  start.timeout = kLongTimeout;
  fixture.api->Start(std::move(start));
  fixture.RunUntil([&] { return fixture.unanswered.size() == 1; });
  fixture.upstream.reset();
  fixture.RunUntil([&] { return fixture.ends.size() == 1; });
  cr_assert(fixture.ends[0].result.outcome == wire::TaskOutcome::kMayHaveRun);
  // Nothing listens at the announced address any more.
  cr_assert(fixture.Run("succeed").outcome == wire::TaskOutcome::kNotRun);
}

Test(upstream_api, only_changes_of_the_upstream_reach_the_core) {
  Fixture fixture(std::chrono::milliseconds(200));
  fixture.AnnounceUpstream();
  fixture.AnnounceUpstream();
  cr_assert_eq(fixture.upstreams.size(), 1);
  fixture.AnnounceUpstream(4);
  fixture.AnnounceUpstream(4, true);
  cr_assert_eq(fixture.upstreams.size(), 3);
  cr_assert(fixture.upstreams[2].slots == 4 && fixture.upstreams[2].leaving);
  // The announce timeout removes the upstream.
  fixture.RunUntil([&] { return fixture.upstreams.size() == 4; });
  cr_assert_eq(fixture.upstreams[3].slots, 0);
  fixture.AnnounceUpstream();
  cr_assert_eq(fixture.upstreams.size(), 5);
}

Test(upstream_api, a_moved_upstream_gets_the_new_tasks) {
  Fixture fixture;
  fixture.AnnounceUpstream();
  core::StartExecutionEffect start;
  start.payload = "hang";
  start.timeout = kLongTimeout;
  fixture.api->Start(std::move(start));
  fixture.RunUntil([&] { return fixture.unanswered.size() == 1; });
  auto moved = Server::Create(
      fixture.context, {},
      [](const Request&, const Responder& respond) { respond({}); });
  cr_assert(moved.ok());
  fixture.Announce(fmt::format(R"({{"slots":8,"port":{}}})", (*moved)->port()));
  cr_assert(fixture.Run("any").outcome == wire::TaskOutcome::kSucceeded);
  cr_assert_eq(fixture.requests.size(), 1);
  // The call to the earlier address still completes.
  fixture.unanswered[0]({});
  fixture.RunUntil([&] { return fixture.ends.size() == 2; });
  cr_assert(fixture.ends[1].result.outcome == wire::TaskOutcome::kSucceeded);
}

Test(upstream_api, wrong_announcements_are_refused) {
  Fixture fixture;
  for (const char* body :
       {"", "{}", R"({"slots":0,"port":1})", R"({"slots":1,"port":0})",
        R"({"slots":1,"port":65536})", R"({"slots":1,"port":1,"x":1})",
        R"({"slots":1,"port":1,"host":"example"})",
        R"({"slots":1,"port":1,"leaving":1})"}) {
    cr_assert_eq(fixture.Announce(body).status, 400, "%s", body);
  }
  cr_assert(fixture.upstreams.empty());
}

}  // namespace

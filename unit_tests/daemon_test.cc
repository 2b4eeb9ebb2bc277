#include "daemon_fixture.h"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <semaphore>
#include <string>

#include "filbertwick/daemon/daemon.h"
#include "filbertwick/http/client.h"

namespace {

using filbertwick::Duration;
using filbertwick::InstanceName;
using filbertwick::RegionName;
using filbertwick::ServiceName;
using filbertwick::ZoneName;
using filbertwick::daemon::Daemon;
using filbertwick::daemon::Settings;
using filbertwick::daemon::StandinPlatform;
using filbertwick::http::Response;
namespace http = filbertwick::http;
namespace wire = filbertwick::wire;

constexpr const char* kToken = "an operator token";
constexpr Duration kCallTimeout = std::chrono::seconds(20);
/// Longest wait for a condition before the test fails.
constexpr std::chrono::seconds kTestTimeout(30);
constexpr int kTasksPerJob = 40;
constexpr const char* kBundle = R"({
  "version": 1, "based_on": 0,
  "zones": [{"name": "a", "region": "north"}, {"name": "b", "region": "north"}],
  "services": [{"name": "quote", "zones": ["a", "b"]}],
  "teams": [{"name": "desk", "home_region": "north"}]
})";

/// A daemon, and what its hooks have reported.
struct Node {
  std::unique_ptr<Daemon> daemon;
  /// Calls of the StoppedHook, and the `clean` of the last one.
  std::atomic<int> stopped = 0;
  std::atomic<bool> clean = false;
  /// Released when the daemon logs that it is ready.
  std::counting_semaphore<> became_ready{0};
  /// Released when the graceful stop has ended.
  std::counting_semaphore<> stop_ended{0};
};

/// Two zones, each with an entry, a sidecar and an upstream.
class Deployment {
 public:
  Deployment() {
    for (const char* zone : {"a", "b"}) {
      Start(std::string("entry-") + zone, zone, wire::Role::kEntry);
      Node& sidecar =
          Start(std::string("sidecar-") + zone, zone, wire::Role::kSidecar);
      platform_.AddExecutor(sidecar.daemon->info().address.http_port);
    }
    PublishBundle();
    for (auto& [name, node] : nodes_) {
      cr_assert(node.became_ready.try_acquire_for(kTestTimeout),
                "timed out waiting for readiness");
    }
  }

  Node& node(const char* name) { return nodes_.at(name); }
  StandinPlatform& platform() { return platform_; }

  static Response Call(const Node& node,
                       const char* method,
                       const std::string& target,
                       const std::string& body = "") {
    http::ClientSettings settings;
    settings.port = node.daemon->info().address.http_port;
    http::Request request;
    request.method = method;
    request.target = target;
    request.headers = {{"Authorization", std::string("Bearer ") + kToken}};
    request.body = body;
    auto response = http::CallOnce(settings, std::move(request), kCallTimeout);
    cr_assert(response.ok(), "%s %s: %s", method, target.c_str(),
              response.status().ToString().c_str());
    return *std::move(response);
  }

  /// Polls `done` until it is true. There is no pause between the calls, since
  /// `done` waits for a daemon's response.
  template <typename Condition>
  static void PollUntil(Condition done) {
    const auto end = std::chrono::steady_clock::now() + kTestTimeout;
    while (!done()) {
      cr_assert(std::chrono::steady_clock::now() < end, "timed out");
    }
  }

 private:
  Node& Start(const std::string& name, const char* zone, wire::Role role) {
    Settings settings;
    settings.node.info.name = InstanceName(name);
    settings.node.info.role = role;
    settings.node.info.region = RegionName("north");
    settings.node.info.zone = ZoneName(zone);
    settings.node.info.address.host = "127.0.0.1";
    settings.policy.own_zone = ZoneName(zone);
    if (role == wire::Role::kSidecar) {
      settings.node.info.service = ServiceName("quote");
    }
    settings.log.port = platform_.log().port();
    settings.peer_secret = std::string(32, 's');
    settings.operator_token = kToken;
    settings.stop_deadline = std::chrono::seconds(20);
    settings.announce_timeout = std::chrono::seconds(20);
    Node& node = nodes_[name];
    auto daemon = Daemon::Create(
        settings,
        [&node](std::string_view line) {
          if (line == "daemon: ready") {
            node.became_ready.release();
          }
        },
        [&node](bool clean) {
          node.clean = clean;
          ++node.stopped;
          node.stop_ended.release();
        });
    cr_assert(daemon.ok(), "%s", daemon.status().ToString().c_str());
    node.daemon = *std::move(daemon);
    return node;
  }

  void PublishBundle() {
    std::string text = kBundle;
    std::erase(text, '\n');
    std::string escaped;
    for (const char c : text) {
      escaped += c == '"' ? "\\\"" : std::string(1, c);
    }
    const Response response = Call(node("entry-a"), "POST", "/v1/changes",
                                   R"({"change":"c1","author":"ann","publish":)"
                                   R"({"version":1,"based_on":0,"text":")" +
                                       escaped + "\"}}");
    cr_assert_eq(response.status, 200, "%s", response.body.c_str());
  }

  StandinPlatform platform_{std::chrono::milliseconds(5)};
  std::map<std::string, Node, std::less<>> nodes_;
};

std::string MakeJob(int tasks) {
  std::string body =
      R"({"service":"quote","team":"desk","deadline_ms":15000,"tasks":[)";
  for (int n = 0; n < tasks; ++n) {
    body += fmt::format("{}\"task {}\"", n == 0 ? "" : ",", n);
  }
  return body + "]}";
}

bool Contains(const std::string& text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

Test(daemon, job_runs_once_and_its_answer_is_kept) {
  Deployment deployment;
  const Node& a = deployment.node("entry-a");
  const Node& b = deployment.node("entry-b");
  for (int job = 0; job < 4; ++job) {
    const std::string target = fmt::format("/v1/jobs/job-{}", job);
    const Response first =
        Deployment::Call(a, "PUT", target, MakeJob(kTasksPerJob));
    cr_assert_eq(first.status, 200, "%s", first.body.c_str());
    cr_assert(Contains(first.body, R"("outcome":"complete")"));
    size_t position = 0;
    for (int n = 0; n < kTasksPerJob; ++n) {
      position = first.body.find(fmt::format("\"task {}\"", n), position);
      cr_assert(position != std::string::npos, "task %d", n);
    }
    // A resubmission and a fetch through the other entry give the same answer.
    const Response resubmitted =
        Deployment::Call(b, "PUT", target, MakeJob(kTasksPerJob));
    cr_assert(resubmitted.body == first.body);
    cr_assert(Deployment::Call(b, "GET", target).body == first.body);
    // The same job id with another body is refused.
    const Response conflict = Deployment::Call(b, "PUT", target, MakeJob(2));
    cr_assert_eq(conflict.status, 409, "%s", conflict.body.c_str());
  }
  const auto& starts = deployment.platform().starts();
  cr_assert_eq(starts.starts(), 4 * kTasksPerJob);
  cr_assert_eq(starts.tasks_started_twice(), 0);
}

Test(daemon, operators_see_status_audit_and_bundle) {
  Deployment deployment;
  const Node& a = deployment.node("entry-a");
  cr_assert(Contains(Deployment::Call(a, "GET", "/v1/status").body,
                     R"("bundle_version":1)"));
  cr_assert(Contains(Deployment::Call(a, "GET", "/v1/audit?since=0").body,
                     R"("author":"ann","change":"c1")"));
  cr_assert(Contains(Deployment::Call(a, "GET", "/v1/bundle").body, "quote"));
  cr_assert(Contains(Deployment::Call(a, "GET", "/metrics").body,
                     "peer_messages_received"));
  cr_assert_eq(
      Deployment::Call(a, "PUT", "/v1/jobs/x",
                       R"({"service":"none","team":"desk","tasks":[1]})")
          .status,
      404);
  // A bundle that is based on an outdated version is refused. The answer names
  // the version in force and its author, so that the publisher learns which
  // concurrent change was accepted.
  const Response stale =
      Deployment::Call(deployment.node("entry-b"), "POST", "/v1/changes",
                       R"({"change":"c2","author":"bob","publish":)"
                       R"({"version":2,"based_on":0,"text":"{}"}})");
  cr_assert_eq(stale.status, 409, "%s", stale.body.c_str());
}

/// Number of HTTP requests that a daemon has received, including the one that
/// reads the metric.
uint64_t CountRequests(const Node& node) {
  constexpr std::string_view kName = "http_requests ";
  const std::string text = Deployment::Call(node, "GET", "/metrics").body;
  const size_t position = text.find(kName);
  cr_assert(position != std::string::npos);
  return std::stoull(text.substr(position + kName.size()));
}

Test(daemon, graceful_stop_completes_all_requests) {
  Deployment deployment;
  constexpr int kJobs = 12;
  const uint64_t before = CountRequests(deployment.node("entry-a"));
  std::atomic<int> complete = 0;
  std::vector<std::thread> callers;
  callers.reserve(kJobs);
  for (int n = 0; n < kJobs; ++n) {
    callers.emplace_back([&, n] {
      const Response response = Deployment::Call(
          deployment.node("entry-a"), "PUT", fmt::format("/v1/jobs/stop-{}", n),
          MakeJob(kTasksPerJob));
      complete += Contains(response.body, R"("outcome":"complete")") ? 1 : 0;
    });
  }
  // Waits until all requests have arrived: a request that arrives after Stop()
  // may be refused, which is no failure of the graceful stop. Each poll adds
  // one request of its own.
  uint64_t own_requests = 0;
  Deployment::PollUntil([&] {
    ++own_requests;
    return CountRequests(deployment.node("entry-a")) >=
           before + own_requests + kJobs;
  });
  cr_assert(deployment.platform().starts().WaitForStarts(kTasksPerJob + 1,
                                                         kTestTimeout),
            "timed out waiting for task starts");
  Node& stopping = deployment.node("entry-a");
  stopping.daemon->Stop();
  cr_assert_not(stopping.daemon->ready());
  for (std::thread& caller : callers) {
    caller.join();
  }
  cr_assert(stopping.stop_ended.try_acquire_for(kTestTimeout),
            "timed out waiting for the graceful stop");
  cr_assert(stopping.clean);
  cr_assert_eq(stopping.stopped, 1);
  cr_assert_eq(complete, kJobs);
  cr_assert_eq(deployment.platform().starts().tasks_started_twice(), 0);
  // The other entry still accepts jobs.
  const Response after = Deployment::Call(deployment.node("entry-b"), "PUT",
                                          "/v1/jobs/after", MakeJob(3));
  cr_assert(Contains(after.body, R"("outcome":"complete")"), "%s",
            after.body.c_str());
}

}  // namespace

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "unit_tests/client_crowd.h"
#include "unit_tests/crowd_deployment.h"
#include "unit_tests/http_fixture.h"

// Crowds of clients that do not keep to the protocol or to the limits, against
// the programs themselves. Each test checks that the process lives, stays
// within the memory and the descriptors of its settings, and answers an
// ordinary job while the crowd is still connected.

namespace {

using filbertwick::test::ClientScript;
using filbertwick::test::Crowd;
using filbertwick::test::Deployment;
using filbertwick::test::DeploymentSettings;
using filbertwick::test::kKilobyte;
using filbertwick::test::kMegabyte;
using filbertwick::test::RawConnection;

/// Clients of most crowds, each of which sends up to some megabytes.
constexpr size_t kClients = 100;
/// Clients that stay open together, as many as the sockets of the settings
/// allow.
constexpr size_t kManyClients = 250;
/// Clients that connect, more than the sockets of the settings allow.
constexpr size_t kTooManyClients = 600;

constexpr std::string_view kPost =
    "POST /crowd/00000000000000aa HTTP/1.1\r\nHost: crowd.example\r\n";

std::string AnnouncedPost(size_t bytes) {
  return fmt::format("{}Content-Length: {}\r\n\r\n", kPost, bytes);
}

/// A request with a chunked body that begins with `bytes`.
std::string ChunkedPost(std::string_view bytes = "") {
  return fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{}", kPost, bytes);
}

std::string Chunk(std::string_view data) {
  return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

std::string Repeat(std::string_view text, size_t times) {
  std::string repeated;
  for (size_t n = 0; n < times; ++n) {
    repeated += text;
  }
  return repeated;
}

/// A body of `bytes` bytes, announced, without its last byte.
ClientScript UnfinishedBody(size_t bytes) {
  constexpr size_t kBlock = 16 * kKilobyte;
  const size_t blocks = (bytes - 1) / kBlock;
  return {AnnouncedPost(bytes), std::string(kBlock, ' '), blocks,
          std::string(bytes - 1 - blocks * kBlock, ' ')};
}

/// Has a crowd at a listener of the entry send `script`, and checks the entry.
void CheckEntryHolds(size_t clients,
                     const ClientScript& script,
                     const DeploymentSettings& settings = {},
                     uint16_t port = Deployment::kCallerPort) {
  Deployment deployment(FW_PLATFORM_PROGRAM, settings);
  deployment.AwaitService();
  Crowd crowd(deployment.entry(), port, clients);
  crowd.Send(script);
  deployment.CheckEntryHeld();
}

/// Has a crowd of callers submit jobs of the step `step`, which run for a
/// minute, and then send `further`. Checks the entry.
void CheckEntryHoldsJobs(std::string_view step,
                         const DeploymentSettings& settings,
                         const ClientScript& further = {}) {
  constexpr size_t kFirstJob = 0xc0000;
  Deployment deployment(FW_PLATFORM_PROGRAM, settings);
  deployment.AwaitService();
  Crowd crowd(deployment.entry(), Deployment::kCallerPort, kManyClients);
  const std::string job = fmt::format(
      R"({{"spec":"run 60000","best-effort":true,"steps":[{}]}})", step);
  crowd.Send([&](size_t n) {
    ClientScript script = further;
    script.head = fmt::format(
        "POST /crowd/{:016x} HTTP/1.1\r\nHost: crowd.example\r\n"
        "Content-Length: {}\r\n\r\n{}",
        kFirstJob + n, job.size(), job);
    return script;
  });
  deployment.CheckEntryHeld();
}

}  // namespace

TestSuite(client_crowd, .timeout = 120);

// Guards against a last chunk that arrives in parts and ends the process in its
// parser.
Test(client_crowd, last_chunk_in_parts) {
  CheckEntryHolds(1, {ChunkedPost("0\r\n"), "\r", 1, "\n"});
}

// Guards against trailer fields that are held without any limit.
Test(client_crowd, trailers_without_end) {
  const std::string field = "X-Trailer: " + std::string(1000, 't') + "\r\n";
  CheckEntryHolds(8, {ChunkedPost("0\r\n"), Repeat(field, 64), 512, ""});
}

// Guards against a single trailer field that is held without any limit.
Test(client_crowd, one_trailer_without_end) {
  CheckEntryHolds(8, {ChunkedPost("0\r\nX-Trailer: "),
                      std::string(64 * kKilobyte, 't'), 512, ""});
}

// Guards against a chunk extension that is held without any limit.
Test(client_crowd, chunk_extension_without_end) {
  CheckEntryHolds(
      8, {ChunkedPost("1;x="), std::string(64 * kKilobyte, 'e'), 512, ""});
}

// Guards against a limit of bodies for each request only, with large chunks.
Test(client_crowd, chunked_bodies_short_of_their_end) {
  CheckEntryHolds(kClients, {ChunkedPost(),
                             Chunk(std::string(64 * kKilobyte, ' ')), 62, ""});
}

// The same with chunks of two bytes.
Test(client_crowd, bodies_of_small_chunks_short_of_their_end) {
  CheckEntryHolds(kClients,
                  {ChunkedPost(), Repeat(Chunk("  "), 8 * kKilobyte), 64, ""});
}

// Guards against a limit of bodies for each request only, with a length that is
// announced.
Test(client_crowd, announced_bodies_short_of_their_end) {
  CheckEntryHolds(kClients, UnfinishedBody(4 * kMegabyte));
}

// Guards against bodies without end that are held up to the limit of each.
Test(client_crowd, bodies_without_end) {
  CheckEntryHolds(kClients, {ChunkedPost(),
                             Chunk(std::string(64 * kKilobyte, ' ')), 256, ""});
}

// Guards against memory that is set aside for what a request announces.
Test(client_crowd, announced_bodies_far_over_the_limit) {
  CheckEntryHolds(kClients, {AnnouncedPost(900 * kMegabyte),
                             std::string(64 * kKilobyte, ' '), 16, ""});
}

// Guards against bodies inside the configuration's limit that are together
// larger than the memory.
Test(client_crowd, allowed_bodies_short_of_their_end) {
  DeploymentSettings settings;
  settings.max_body_bytes = 512 * kKilobyte;
  CheckEntryHolds(kManyClients, UnfinishedBody(settings.max_body_bytes),
                  settings);
}

// Guards against bodies that are far larger when parsed than as text.
Test(client_crowd, bodies_of_many_values) {
  DeploymentSettings settings;
  settings.entry_memory_mb = 48;
  settings.max_body_bytes = 4 * kMegabyte;
  constexpr size_t kValuesOfBlock = 20'000;
  constexpr size_t kBlocks = 100;
  const std::string open = R"({"spec":"","x":[0)";
  const std::string block = Repeat(",0", kValuesOfBlock);
  const std::string close = "]}";
  CheckEntryHolds(
      4,
      {AnnouncedPost(open.size() + kBlocks * block.size() + close.size()) +
           open,
       block, kBlocks, close},
      settings);
}

// Guards against connections for which no descriptor is left, and against a
// crowd at the door that keeps callers out.
Test(client_crowd, connections_that_say_nothing) {
  CheckEntryHolds(kTooManyClients, {});
}

// The same with requests of which only the first bytes arrive.
Test(client_crowd, headers_that_never_end) {
  CheckEntryHolds(kTooManyClients,
                  {std::string(kPost), "X-Header: x\r\n", 8, ""});
}

// Guards against header fields that are far larger when parsed than as text.
Test(client_crowd, headers_of_many_fields) {
  CheckEntryHolds(kManyClients, {std::string(kPost) + Repeat("a:b\r\n", 3200) +
                                     "Content-Length: 1000\r\n\r\n",
                                 "", 0, ""});
}

// Guards against requests that wait in the process and in its sockets while the
// client takes no answer.
Test(client_crowd, answers_that_are_not_taken) {
  DeploymentSettings settings;
  settings.entry_memory_mb = 32;
  const std::string get = "GET /crowd/ HTTP/1.1\r\nHost: crowd.example\r\n\r\n";
  CheckEntryHolds(kManyClients, {"", Repeat(get, 1000), 100, "", false},
                  settings);
}

// Guards against requests that wait in the process and in its sockets behind a
// job without an answer.
Test(client_crowd, requests_behind_unanswered_jobs) {
  DeploymentSettings settings;
  settings.entry_memory_mb = 32;
  const std::string next =
      AnnouncedPost(250 * kKilobyte) + std::string(250 * kKilobyte, ' ');
  CheckEntryHoldsJobs(R"({"cpu":1000,"estimate-ms":60000})", settings,
                      {"", next, 40, ""});
}

// Guards against jobs whose state is far larger than their text.
Test(client_crowd, jobs_of_many_tasks) {
  DeploymentSettings settings;
  settings.entry_memory_mb = 40;
  CheckEntryHoldsJobs(R"({"count":1000,"cpu":1000,"estimate-ms":60000})",
                      settings);
}

// Guards against jobs of one service that wait and keep the jobs of another
// service from their upstreams.
Test(client_crowd, jobs_that_wait_for_another_service) {
  CheckEntryHoldsJobs(R"({"cpu":1000})", {});
}

// Guards against whole requests that are held until the first configuration.
Test(client_crowd, requests_before_the_configuration) {
  DeploymentSettings settings;
  settings.max_body_bytes = 4 * kMegabyte;
  Deployment deployment(FW_PLATFORM_PROGRAM, settings);
  deployment.SetStoreDown(true);
  deployment.RestartEntry();
  Crowd crowd(deployment.entry(), Deployment::kCallerPort, kClients);
  ClientScript script = UnfinishedBody(4 * kMegabyte);
  script.tail += " ";
  crowd.Send(script);
  deployment.SetStoreDown(false);
  deployment.AwaitService();
  deployment.CheckEntryHeld();
}

// Guards against the same crowd at the listeners that serve no callers.
Test(client_crowd, bodies_at_the_readiness_listener) {
  CheckEntryHolds(kClients, UnfinishedBody(4 * kMegabyte), {},
                  Deployment::kReadinessPort);
}

Test(client_crowd, bodies_at_the_listener_for_instances) {
  CheckEntryHolds(kClients, UnfinishedBody(8 * kMegabyte), {},
                  Deployment::kPeerPort);
}

Test(client_crowd, bodies_at_the_metrics_listener) {
  CheckEntryHolds(kClients, UnfinishedBody(8 * kMegabyte), {},
                  Deployment::kMetricsPort);
}

Test(client_crowd, announcements_short_of_their_end) {
  Deployment deployment(FW_PLATFORM_PROGRAM);
  deployment.AwaitService();
  Crowd crowd(deployment.sidecar(), Deployment::kAnnouncementPort, kClients);
  crowd.Send(UnfinishedBody(4 * kMegabyte));
  deployment.CheckSidecarHeld();
}

Test(client_crowd, connections_at_a_sidecar_that_say_nothing) {
  Deployment deployment(FW_PLATFORM_PROGRAM);
  deployment.AwaitService();
  Crowd crowd(deployment.sidecar(), Deployment::kAnnouncementPort,
              kTooManyClients);
  crowd.Send(ClientScript{});
  deployment.CheckSidecarHeld();
}

// No limit concerns clients inside the limits: kept-alive connections, and a
// body of the largest size that arrives in small parts between their requests.
Test(client_crowd, clients_inside_the_limits_are_served) {
  constexpr size_t kKeptAlive = 80;
  constexpr size_t kPart = 4 * kKilobyte;
  const DeploymentSettings settings;
  Deployment deployment(FW_PLATFORM_PROGRAM, settings);
  deployment.AwaitService();
  const auto connect = [&] {
    return std::make_unique<RawConnection>(Deployment::kCallerPort,
                                           deployment.entry().host());
  };
  std::vector<std::unique_ptr<RawConnection>> callers;
  std::generate_n(std::back_inserter(callers), kKeptAlive, connect);
  const auto slow = connect();
  const std::string job = Deployment::JobText(1);
  slow->Send(
      "POST /quote/00000000000000bb HTTP/1.1\r\nHost: crowd.example\r\n" +
      fmt::format("Content-Length: {}\r\n\r\n{}", settings.max_body_bytes,
                  job));
  const std::string answer =
      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
      "Content-Length: 13\r\n\r\n{\"pending\":0}";
  for (size_t sent = job.size(); sent < settings.max_body_bytes;) {
    const size_t n = std::min(kPart, settings.max_body_bytes - sent);
    slow->Send(std::string(n, ' '));
    sent += n;
    for (const auto& caller : callers) {
      caller->Send("GET /crowd/ HTTP/1.1\r\nHost: crowd.example\r\n\r\n");
      cr_assert_eq(caller->Read(answer.size()), answer);
    }
  }
  cr_assert_eq(slow->Read(12), "HTTP/1.1 200");
  deployment.CheckEntryHeld();
}

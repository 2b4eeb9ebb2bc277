#include "bench/live/fleet.h"

#include <absl/status/status.h>
#include <fmt/format.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "filbertwick/http/client.h"
#include "filbertwick/http/target.h"

namespace filbertwick::bench {
namespace {

constexpr const char* kToken = "token-of-the-measurement";
constexpr const char* kZones[] = {"a", "b", "c"};
constexpr Duration kCallTimeout = std::chrono::seconds(20);
constexpr std::chrono::milliseconds kRetryPause(200);
constexpr int kRetries = 150;
constexpr const char* kBundle =
    R"({\"version\":1,\"based_on\":0,\"zones\":[)"
    R"({\"name\":\"a\",\"region\":\"north\"},{\"name\":\"b\",\"region\":\"north\"},)"
    R"({\"name\":\"c\",\"region\":\"north\"}],)"
    R"(\"services\":[{\"name\":\"quote\",\"zones\":[\"a\",\"b\",\"c\"]}],)"
    R"(\"teams\":[{\"name\":\"desk\",\"home_region\":\"north\"}]})";

/// Returns a port that is free at the time of the call.
uint16_t ChoosePort() {
  namespace ip = boost::asio::ip;
  boost::asio::io_context context;
  const ip::tcp::acceptor acceptor(context, {ip::address_v4::loopback(), 0});
  return acceptor.local_endpoint().port();
}

absl::StatusOr<http::Response> Call(uint16_t port, http::Request request) {
  http::ClientSettings settings;
  settings.port = port;
  return http::CallOnce(settings, std::move(request), kCallTimeout);
}

/// Repeats the request until the response has status 200. Returns
/// DeadlineExceeded with the last error after `kRetries` attempts.
absl::Status RetryUntilOk(uint16_t port, const http::Request& request) {
  std::string last;
  for (int i = 0; i < kRetries; ++i) {
    const auto response = Call(port, request);
    if (response.ok() && response->status == 200) {
      return absl::OkStatus();
    }
    last = response.ok() ? response->body : response.status().ToString();
    std::this_thread::sleep_for(kRetryPause);
  }
  return absl::DeadlineExceededError(
      fmt::format("{} {}: {}", request.method, request.target, last));
}

}  // namespace

Fleet::Fleet(const FleetSettings& settings)
    : settings_(settings), secret_(64, 'a') {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "bench_live_XXXXXX").string();
  folder_ = mkdtemp(pattern.data());
}

Fleet::~Fleet() {
  // Ends the processes in reverse order: executors and sidecars first, the log
  // last.
  while (!processes_.empty()) {
    processes_.pop_back();
  }
  std::error_code ec;
  std::filesystem::remove_all(folder_, ec);
}

absl::StatusOr<std::unique_ptr<Fleet>> Fleet::Start(
    const FleetSettings& settings) {
  auto fleet = std::unique_ptr<Fleet>(new Fleet(settings));
  if (absl::Status status = fleet->StartAll(); !status.ok()) {
    return status;
  }
  return fleet;
}

absl::Status Fleet::StartAll() {
  auto log = StartStandin("log", {settings_.programs + "/standin_log"});
  if (!log.ok()) {
    return log.status();
  }
  log_port_ = *log;
  for (uint32_t i = 0; i < settings_.entries; ++i) {
    entries_.push_back(ChoosePort());
    if (auto status = StartDaemon("entry", i, entries_.back()); !status.ok()) {
      return status;
    }
  }
  for (uint32_t i = 0; i < settings_.sidecars; ++i) {
    const uint16_t port = ChoosePort();
    if (auto status = StartDaemon("sidecar", i, port); !status.ok()) {
      return status;
    }
    const auto executor =
        StartStandin("executor", {settings_.programs + "/standin_executor",
                                  "--sidecar-port", std::to_string(port),
                                  "--slots", std::to_string(settings_.slots)});
    if (!executor.ok()) {
      return executor.status();
    }
    executors_.push_back(*executor);
  }
  if (absl::Status status = Publish(); !status.ok()) {
    return status;
  }
  for (const uint16_t entry : entries_) {
    if (absl::Status status = AwaitJob(entry); !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

absl::Status Fleet::StartDaemon(const std::string& role,
                                uint32_t number,
                                uint16_t http_port) {
  const std::string file = fmt::format("{}/{}-{}.json", folder_, role, number);
  const std::string own = role == "entry"
                              ? fmt::format(R"("operator_token":"{}")", kToken)
                              : std::string(R"("service":"quote")");
  std::ofstream(file) << fmt::format(
      R"({{"role":"{}","name":"{}-{}","region":"north","zone":"{}",)"
      R"("listen":{{"host":"127.0.0.1","http_port":{}}},)"
      R"("log":{{"host":"127.0.0.1","port":{}}},"peer_secret":"{}",{}}})",
      role, role, number, kZones[number % std::size(kZones)], http_port,
      log_port_, secret_, own);
  return AddProcess(role,
                    {settings_.programs + "/filbertwickd", "--settings", file});
}

absl::StatusOr<uint16_t> Fleet::StartStandin(const std::string& role,
                                             std::vector<std::string> command) {
  if (absl::Status status = AddProcess(role, command); !status.ok()) {
    return status;
  }
  const std::string line = processes_.back().second->ReadLine();
  const auto port = line.starts_with("port ")
                        ? http::ParseNumber(std::string_view(line).substr(5))
                        : std::nullopt;
  if (!port) {
    return absl::UnavailableError(command[0] + " printed no port");
  }
  return static_cast<uint16_t>(*port);
}

absl::Status Fleet::AddProcess(const std::string& role,
                               const std::vector<std::string>& command) {
  auto process =
      ChildProcess::Start(command, fmt::format("{}/{}.log", folder_, role));
  if (!process.ok()) {
    return process.status();
  }
  processes_.emplace_back(role, *std::move(process));
  return absl::OkStatus();
}

absl::Status Fleet::Publish() const {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/changes";
  request.headers = {{"Authorization", fmt::format("Bearer {}", kToken)}};
  request.body = fmt::format(
      R"({{"change":"first","author":"bench","publish":{{"version":1,)"
      R"("based_on":0,"text":"{}"}}}})",
      kBundle);
  return RetryUntilOk(entries_.front(), request);
}

absl::Status Fleet::AwaitJob(uint16_t entry) const {
  for (uint32_t i = 0; i < 3; ++i) {
    http::Request request;
    request.method = "PUT";
    request.target = fmt::format("/v1/jobs/first-{}-{}", entry, i);
    request.body =
        R"({"service":"quote","team":"desk","tasks":[{"run_ms":0}]})";
    if (absl::Status status = RetryUntilOk(entry, request); !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

UsageOfRole Fleet::ReadUsage() const {
  UsageOfRole usage;
  for (const auto& [role, process] : processes_) {
    const Usage own = process->ReadUsage();
    usage[role].cpu_seconds += own.cpu_seconds;
    usage[role].memory_bytes += own.memory_bytes;
  }
  return usage;
}

std::pair<uint64_t, uint64_t> Fleet::CountStarts() const {
  std::map<std::string, uint64_t> counts;
  for (const uint16_t port : executors_) {
    http::Request request;
    request.target = "/v1/starts";
    const auto response = Call(port, request);
    std::istringstream lines(response.ok() ? response->body : "");
    std::string key;
    uint64_t count = 0;
    while (lines >> key >> count) {
      counts[key] += count;
    }
  }
  uint64_t twice = 0;
  for (const auto& [key, count] : counts) {
    twice += count > 1 ? 1 : 0;
  }
  return {counts.size(), twice};
}

}  // namespace filbertwick::bench

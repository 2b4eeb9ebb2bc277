#include <criterion/criterion.h>
#include <fmt/format.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>

#include "filbertwick/http/client.h"
#include "filbertwick/standin/log_service.h"
#include "unit_tests/client_crowd.h"
#include "unit_tests/http_fixture.h"

// Crowds of clients that do not keep to the protocol or to the limits, against
// filbertwickd with its default limits.

namespace {

using filbertwick::Duration;
using filbertwick::standin::LogService;
using filbertwick::test::ClientScript;
using filbertwick::test::Crowd;
using filbertwick::test::HostOf;
using filbertwick::test::kKilobyte;
using filbertwick::test::kMegabyte;
using filbertwick::test::LoopThread;
using filbertwick::test::TestProcess;

constexpr uint16_t kHttpPort = 8100;
constexpr Duration kCallTimeout = std::chrono::seconds(20);
/// The memory that the process may use with its default limits.
constexpr size_t kMaxMemoryMb = 384;
/// As many descriptors as an instance has on the users' platform.
constexpr size_t kMaxSockets = 3900;

/// An entry of filbertwickd, and the log service that it follows.
class TestDaemon {
 public:
  TestDaemon()
      : folder_(std::filesystem::temp_directory_path() /
                fmt::format("daemon_crowd_test.{}", getpid())) {
    std::filesystem::create_directories(folder_);
    loop_.Run([this] { log_ = *LogService::Create(loop_.context(), {}); });
    std::ofstream(folder_ / "peer.secret") << std::string(64, '0') << "\n";
    std::ofstream(folder_ / "operator.token") << "operator-token-of-a-test\n";
    std::ofstream(folder_ / "entry.json") << fmt::format(
        R"({{"role":"entry","name":"entry-1","region":"r","zone":"z",)"
        R"("listen":{{"host":"{}","udp_port":7100,"tcp_port":7100,)"
        R"("http_port":{}}},"log":{{"host":"127.0.0.1","port":{},)"
        R"("stream":"control"}},"peer_secret_file":"peer.secret",)"
        R"("operator_token_file":"operator.token"}})",
        HostOf(1), kHttpPort, log_->port());
    process_ = std::make_unique<TestProcess>(
        std::vector<std::string>{FW_DAEMON_PROGRAM, "--settings",
                                 folder_ / "entry.json"},
        HostOf(1), folder_ / "entry.log");
    const auto end = filbertwick::MonotonicClock::now() + kCallTimeout;
    while (!AnswersStatus() && filbertwick::MonotonicClock::now() < end) {
    }
  }
  ~TestDaemon() {
    process_.reset();
    loop_.Stop();
    log_.reset();
    std::filesystem::remove_all(folder_);
  }

  TestProcess& process() { return *process_; }

  /// Asks for the status, which is answered by the core.
  bool AnswersStatus() const {
    filbertwick::http::ClientSettings settings;
    settings.host = HostOf(1);
    settings.port = kHttpPort;
    filbertwick::http::Request request;
    request.target = "/v1/status";
    const auto response =
        filbertwick::http::CallOnce(settings, request, kCallTimeout);
    return response.ok() && response->status == 200;
  }

  void CheckHeld() {
    process_->Sample();
    cr_expect(process_->IsRunning(), "the process has ended");
    cr_expect_leq(process_->peaks().memory_bytes / kMegabyte, kMaxMemoryMb,
                  "%zu MB held", process_->peaks().memory_bytes / kMegabyte);
    cr_expect_leq(process_->peaks().sockets, kMaxSockets, "%zu sockets open",
                  process_->peaks().sockets);
    cr_expect(AnswersStatus(), "an ordinary request was not answered");
  }

 private:
  const std::filesystem::path folder_;
  LoopThread loop_;
  std::unique_ptr<LogService> log_;
  std::unique_ptr<TestProcess> process_;
};

constexpr std::string_view kPut = "PUT /v1/jobs/a HTTP/1.1\r\nHost: h\r\n";

}  // namespace

TestSuite(daemon_crowd, .timeout = 120);

// Guards against trailer fields that are held without any limit.
Test(daemon_crowd, trailers_without_end) {
  TestDaemon daemon;
  Crowd crowd(daemon.process(), kHttpPort, 8);
  crowd.Send({fmt::format("{}Transfer-Encoding: chunked\r\n\r\n0\r\nX: ", kPut),
              std::string(64 * kKilobyte, 't'), 1024, ""});
  daemon.CheckHeld();
}

// Guards against a limit of bodies for each request only.
Test(daemon_crowd, bodies_short_of_their_end) {
  constexpr size_t kBytes = 8 * kMegabyte;
  constexpr size_t kBlock = 64 * kKilobyte;
  TestDaemon daemon;
  Crowd crowd(daemon.process(), kHttpPort, 100);
  crowd.Send({fmt::format("{}Content-Length: {}\r\n\r\n", kPut, kBytes),
              std::string(kBlock, ' '), kBytes / kBlock - 1,
              std::string(kBlock - 1, ' ')});
  daemon.CheckHeld();
}

// Guards against connections for which no descriptor is left, and against a
// crowd at the door that keeps callers out.
Test(daemon_crowd, connections_that_say_nothing) {
  TestDaemon daemon;
  Crowd crowd(daemon.process(), kHttpPort, 5000);
  crowd.Send(ClientScript{});
  daemon.CheckHeld();
}

#ifndef FILBERTWICK_UNIT_TESTS_CROWD_DEPLOYMENT_H_
#define FILBERTWICK_UNIT_TESTS_CROWD_DEPLOYMENT_H_

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertwick/http/client.h"
#include "filbertwick/standin/platform_store.h"
#include "soak/observer.h"
#include "soak/upstream.h"
#include "unit_tests/client_crowd.h"
#include "unit_tests/http_fixture.h"

namespace filbertwick::test {

inline constexpr Duration kCallTimeout = std::chrono::seconds(20);
/// Descriptors that the platform keeps for files, out of the limit of a
/// process.
inline constexpr size_t kFileDescriptors = 200;

/// Limits of the machines under test, and the configuration.
struct DeploymentSettings {
  size_t entry_memory_mb = 64;
  size_t sidecar_memory_mb = 64;
  size_t max_descriptors = 500;
  size_t max_body_bytes = 256 * kKilobyte;
};

/// An entry and two sidecars with their upstreams, and a store, each at an
/// address of its own. The queue `/quote/` is served by the first upstream; the
/// jobs of the crowd go to `/crowd/` and the second one.
class Deployment {
 public:
  static constexpr uint16_t kCallerPort = 8161;
  static constexpr uint16_t kUpstreamPort = 8165;
  static constexpr uint16_t kAnnouncementPort = 8166;
  static constexpr uint16_t kReadinessPort = 8167;
  static constexpr uint16_t kStorePort = 8169;
  static constexpr uint16_t kPeerPort = 7720;
  static constexpr uint16_t kMetricsPort = 9464;

  Deployment(std::string program, const DeploymentSettings& settings = {})
      : program_(std::move(program)),
        settings_(settings),
        folder_(std::filesystem::temp_directory_path() /
                fmt::format("client_crowd_test.{}", getpid())),
        tick_(loop_.context()) {
    std::filesystem::create_directories(folder_);
    loop_.Run([this] {
      auto store = standin::PlatformStore::Create(loop_.context(), HostOf(3),
                                                  kStorePort);
      cr_assert(store.ok());
      store_ = *std::move(store);
      store_->Put("keyed.op", "config", Configuration());
      AddUpstream(2, "quote-service");
      AddUpstream(4, "crowd-service");
      Tick();
    });
    entry_ = StartProcess(1, EntrySettings());
    sidecar_ = StartProcess(2, SidecarSettings(2));
    crowd_sidecar_ = StartProcess(4, SidecarSettings(4));
  }
  ~Deployment() {
    entry_.reset();
    sidecar_.reset();
    crowd_sidecar_.reset();
    loop_.Stop();
    upstreams_.clear();
    store_.reset();
    std::filesystem::remove_all(folder_);
  }

  TestProcess& entry() { return *entry_; }
  /// Replaces the entry by a new process, which has no configuration yet.
  void RestartEntry() {
    entry_.reset();
    entry_ = StartProcess(1, EntrySettings());
    AwaitListener(HostOf(1), kCallerPort);
  }
  TestProcess& sidecar() { return *sidecar_; }
  void SetStoreDown(bool down) {
    loop_.Run([&] { store_->SetDown(down); });
  }

  /// Waits until a job is answered.
  void AwaitService() {
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context);
    const Instant end = MonotonicClock::now() + kCallTimeout;
    while (!AnswersJob() && MonotonicClock::now() < end) {
      timer.expires_after(std::chrono::milliseconds(100));
      timer.wait();
    }
  }

  /// Waits until connections are accepted.
  static void AwaitListener(const std::string& host, uint16_t port) {
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context);
    const boost::asio::ip::tcp::endpoint endpoint(
        boost::asio::ip::make_address(host), port);
    boost::system::error_code ec;
    do {
      timer.expires_after(std::chrono::milliseconds(20));
      timer.wait();
      boost::asio::ip::tcp::socket(context).connect(endpoint, ec);
    } while (ec);
  }

  /// Sends one job, as an ordinary caller does; true if it is completed.
  bool AnswersJob() {
    http::Request request;
    request.method = "POST";
    request.target = fmt::format("/quote/{:016x}", ++last_job_);
    request.headers = {{"Host", "crowd.example"}};
    request.body = JobText(1);
    http::ClientSettings settings;
    settings.host = entry_->host();
    settings.port = kCallerPort;
    const auto response =
        http::CallOnce(settings, std::move(request), kCallTimeout);
    return response.ok() && response->status == 200 &&
           response->body.find("completed") != std::string::npos;
  }

  /// A job of `tasks` tasks of one millisecond each.
  static std::string JobText(size_t tasks) {
    return fmt::format(
        R"({{"spec":"run 1","best-effort":true,"steps":[{{"count":{},)"
        R"("cpu":1000,"estimate-ms":1}}]}})",
        tasks);
  }

  /// Checks, while the crowd is still connected, that the process lives, was
  /// never above the limits of its machine, and that a job is answered.
  void CheckHeld(TestProcess& process, size_t memory_mb) {
    process.Sample();
    cr_log_info("held %zu KB, %zu sockets",
                process.peaks().memory_bytes / kKilobyte,
                process.peaks().sockets);
    cr_expect(process.IsRunning(), "the process has ended");
    cr_expect_leq(process.peaks().memory_bytes / kMegabyte, memory_mb,
                  "%zu MB held, allowed are %zu MB",
                  process.peaks().memory_bytes / kMegabyte, memory_mb);
    cr_expect_leq(process.peaks().sockets,
                  settings_.max_descriptors - kFileDescriptors,
                  "%zu sockets open", process.peaks().sockets);
    cr_expect(AnswersJob(), "an ordinary job was not answered");
  }
  void CheckEntryHeld() { CheckHeld(*entry_, settings_.entry_memory_mb); }
  void CheckSidecarHeld() { CheckHeld(*sidecar_, settings_.sidecar_memory_mb); }

 private:
  std::string Configuration() const {
    const auto route = [](std::string_view name) {
      return fmt::format(
          R"({{"name":"{0}","host":"crowd.example","path-prefix":"/{0}/",)"
          R"("kind":"unsafe","timeout-ms":60000,"target-latency-ms":30000,)"
          R"("priority":1,"service":"{0}-service","max-attempts":3,)"
          R"("stretch":2}})",
          name);
    };
    return fmt::format(
        R"({{"version":1,"routes":[{},{}],"services":[)"
        R"({{"name":"quote-service"}},{{"name":"crowd-service"}}],)"
        R"("limits":{{"header-bytes":16384,"max-body-bytes":{},)"
        R"("header-timeout-ms":60000,"idle-timeout-ms":60000}}}})",
        route("quote"), route("crowd"), settings_.max_body_bytes);
  }

  std::string CommonSettings(int host, size_t memory_mb) const {
    return fmt::format(
        R"("node":"instance-{0}","ip":"{1}","zone":"zone-0",)"
        R"("seeds":["{2}:{3}"],"port-range":[{4},{5}],)"
        R"("limits":{{"cpu-share":1,"cores":1,"memory-mb":{6},"max-fds":{7}}},)"
        R"("platform":{{"address":"{8}:{9}"}},)"
        R"("bounds":{{"resend-ms":1300,"hold-max-ms":1000,"grace-s":6}})",
        host, HostOf(host), HostOf(1), kAnnouncementPort, kPeerPort,
        kPeerPort + 15, memory_mb, settings_.max_descriptors, HostOf(3),
        kStorePort);
  }

  std::string EntrySettings() const {
    return fmt::format(
        R"({{"serves":["front","control"],"listen":{{"front":"{0}:{1}",)"
        R"("ready":"{0}:{2}","control":"{0}:{3}"}},{4}}})",
        HostOf(1), kCallerPort, kReadinessPort, kAnnouncementPort,
        CommonSettings(1, settings_.entry_memory_mb));
  }

  std::string SidecarSettings(int host) const {
    return fmt::format(
        R"({{"serves":["side"],"listen":{{"control":"{0}:{1}"}},)"
        R"("app":"{0}:{2}",{3}}})",
        HostOf(host), kAnnouncementPort, kUpstreamPort,
        CommonSettings(host, settings_.sidecar_memory_mb));
  }

  void AddUpstream(int host, const std::string& service) {
    soak::UpstreamSettings settings;
    settings.name = fmt::format("upstream-{}", host);
    settings.zone = "zone-0";
    settings.service = service;
    settings.listen = {HostOf(host), kUpstreamPort};
    settings.announced_address = settings.listen;
    settings.sidecar = {HostOf(host), kAnnouncementPort};
    auto upstream =
        soak::Upstream::Create(loop_.context(), settings, observer_);
    cr_assert(upstream.ok());
    upstreams_.push_back(*std::move(upstream));
  }

  void Tick() {
    std::ranges::for_each(upstreams_, [](const auto& it) { it->Advance(); });
    tick_.expires_after(std::chrono::milliseconds(1));
    tick_.async_wait([this](boost::system::error_code ec) {
      if (!ec) {
        Tick();
      }
    });
  }

  std::unique_ptr<TestProcess> StartProcess(int host,
                                            const std::string& settings) {
    const std::string file = folder_ / fmt::format("instance-{}.json", host);
    std::ofstream(file) << settings;
    return std::make_unique<TestProcess>(
        std::vector<std::string>{"/usr/bin/env", "FILBERTWICK_SETTINGS=" + file,
                                 program_},
        HostOf(host), folder_ / fmt::format("instance-{}.log", host));
  }

  const std::string program_;
  const DeploymentSettings settings_;
  const std::filesystem::path folder_;
  LoopThread loop_;
  boost::asio::steady_timer tick_;
  soak::Observer observer_;
  std::unique_ptr<standin::PlatformStore> store_;
  std::vector<std::unique_ptr<soak::Upstream>> upstreams_;
  std::unique_ptr<TestProcess> entry_;
  std::unique_ptr<TestProcess> sidecar_;
  std::unique_ptr<TestProcess> crowd_sidecar_;
  uint64_t last_job_ = 0;
};

}  // namespace filbertwick::test

#endif  // FILBERTWICK_UNIT_TESTS_CROWD_DEPLOYMENT_H_

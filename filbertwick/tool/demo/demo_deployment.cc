#include "filbertwick/tool/demo/demo_deployment.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>
#include <utility>

#include "filbertwick/daemon/daemon.h"
#include "filbertwick/standin/executor.h"
#include "filbertwick/standin/log_service.h"

namespace filbertwick::tool {
namespace {

constexpr std::array<const char*, 3> kZones = {"north", "middle", "south"};
constexpr int kEntries = 2;
constexpr int kSidecarsPerZone = 2;
constexpr uint32_t kSlots = 8;

}  // namespace

/// Owns the log stand-in and the executors, the thread that serves both, and
/// the daemons. The destructor destroys the daemons first, because they are
/// connected to the log and the executors.
class DemoDeployment::Impl {
 public:
  Impl() : work_(boost::asio::make_work_guard(context_)) {
    thread_ = std::thread([this] { context_.run(); });
  }

  ~Impl() {
    daemons_.clear();
    context_.stop();
    thread_.join();
  }

  absl::Status Start();

  std::vector<http::ClientSettings> Entries() const {
    std::vector<http::ClientSettings> entries;
    for (int i = 0; i < kEntries; ++i) {
      http::ClientSettings settings;
      settings.port =
          daemons_[static_cast<size_t>(i)]->info().address.http_port;
      entries.push_back(std::move(settings));
    }
    return entries;
  }

  bool Ready() const {
    return std::ranges::all_of(
        daemons_, [](const auto& daemon) { return daemon->ready(); });
  }

  uint64_t MessagesSent() const {
    uint64_t n = 0;
    for (const auto& daemon : daemons_) {
      n += daemon->counters().Get("peer_messages_sent").value();
    }
    return n;
  }

  const standin::StartCounts& starts() const { return *starts_; }

 private:
  absl::Status StartDaemon(wire::Role role, std::string name, const char* zone);
  absl::Status StartExecutor(uint16_t sidecar_port);

  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_;
  std::shared_ptr<standin::StartCounts> starts_ =
      std::make_shared<standin::StartCounts>();
  std::unique_ptr<standin::LogService> log_;
  std::vector<std::unique_ptr<standin::Executor>> executors_;
  std::vector<std::unique_ptr<daemon::Daemon>> daemons_;
  std::thread thread_;
};

absl::Status DemoDeployment::Impl::Start() {
  auto log = standin::LogService::Create(context_, {});
  if (!log.ok()) {
    return log.status();
  }
  log_ = *std::move(log);
  for (int i = 0; i < kEntries; ++i) {
    auto status = StartDaemon(wire::Role::kEntry,
                              fmt::format("entry-{}", i + 1), kZones[i]);
    if (!status.ok()) {
      return status;
    }
  }
  for (const char* zone : kZones) {
    for (int i = 0; i < kSidecarsPerZone; ++i) {
      auto status = StartDaemon(wire::Role::kSidecar,
                                fmt::format("{}-{}", zone, i + 1), zone);
      if (status.ok()) {
        status = StartExecutor(daemons_.back()->info().address.http_port);
      }
      if (!status.ok()) {
        return status;
      }
    }
  }
  return absl::OkStatus();
}

absl::Status DemoDeployment::Impl::StartDaemon(wire::Role role,
                                               std::string name,
                                               const char* zone) {
  daemon::Settings settings;
  settings.node.info.name = InstanceName(std::move(name));
  settings.node.info.role = role;
  settings.node.info.region = RegionName("home");
  settings.node.info.zone = ZoneName(zone);
  settings.node.info.address.host = "127.0.0.1";
  if (role == wire::Role::kSidecar) {
    settings.node.info.service = ServiceName("quote");
  }
  settings.policy.own_zone = ZoneName(zone);
  settings.policy.sharing_entries = kEntries;
  settings.log.port = log_->port();
  settings.peer_secret = std::string(daemon::kPeerSecretBytes, 'd');
  settings.operator_token = kDemoToken;
  auto daemon = daemon::Daemon::Create(
      std::move(settings), [](std::string_view) {}, [](bool) {});
  if (!daemon.ok()) {
    return daemon.status();
  }
  daemons_.push_back(*std::move(daemon));
  return absl::OkStatus();
}

absl::Status DemoDeployment::Impl::StartExecutor(uint16_t sidecar_port) {
  standin::ExecutorSettings settings;
  settings.slots = kSlots;
  settings.sidecar_port = sidecar_port;
  settings.starts = starts_;
  auto executor = standin::Executor::Create(context_, std::move(settings));
  if (!executor.ok()) {
    return executor.status();
  }
  executors_.push_back(*std::move(executor));
  return absl::OkStatus();
}

DemoDeployment::DemoDeployment(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}
DemoDeployment::~DemoDeployment() = default;

absl::StatusOr<std::unique_ptr<DemoDeployment>> DemoDeployment::Create() {
  auto impl = std::make_unique<Impl>();
  auto status = impl->Start();
  if (!status.ok()) {
    return status;
  }
  return std::unique_ptr<DemoDeployment>(new DemoDeployment(std::move(impl)));
}

std::vector<http::ClientSettings> DemoDeployment::entries() const {
  return impl_->Entries();
}

bool DemoDeployment::ready() const {
  return impl_->Ready();
}

const standin::StartCounts& DemoDeployment::starts() const {
  return impl_->starts();
}

uint64_t DemoDeployment::messages_sent() const {
  return impl_->MessagesSent();
}

std::string DemoDeployment::BundleText() {
  return R"({
  // Three zones, one service that any of them may run.
  "version": 1,
  "based_on": 0,
  "zones": [
    {"name": "north", "region": "home"},
    {"name": "middle", "region": "home"},
    {"name": "south", "region": "home"}
  ],
  "services": [
    {"name": "quote", "zones": ["north", "middle", "south"], "slots": 8,
     "deadline_class": "urgent", "repeatable": false}
  ],
  "teams": [{"name": "demo", "home_region": "home", "quota": 10000}]
}
)";
}

}  // namespace filbertwick::tool

#include "soak/fleet.h"

#include <absl/status/status.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <utility>
#include <vector>

#include "filbertwick/harness/random.h"
#include "filbertwick/standin/platform_store.h"

namespace filbertwick::soak {
namespace {

constexpr uint16_t kCallerPort = 8161;
constexpr uint16_t kUpstreamPort = 8165;
constexpr uint16_t kControlPort = 8166;
constexpr uint16_t kReadyPort = 8167;
constexpr uint16_t kStorePort = 8169;
constexpr uint16_t kPeerPort = 7720;
/// A relay listens on its server's port plus this offset.
constexpr uint16_t kRelayOffset = 1000;
/// Shares of a core that the settings of the first and of the other entries
/// state. They differ enough for entries to share their load.
constexpr double kSmallEntryShare = 0.12;
constexpr double kLargeEntryShare = 0.5;
constexpr size_t kSeeds = 3;
constexpr std::string_view kOperatorTopic = "keyed.op";
constexpr std::string_view kService = "soak-service";
constexpr std::string_view kHost = "soak.example";
/// Upstream clocks run up to 2% slow, as the platform's may.
constexpr double kSlowestClock = 0.98;

std::string ZoneOf(size_t n) {
  return fmt::format("zone-{}", n % Fleet::kZones);
}

/// Loopback address of instance `n`. All addresses of a fleet lie in one /24
/// that is derived from the process id, so that soaks that run at the same time
/// on one machine don't share addresses.
std::string HostOf(size_t n) {
  constexpr int kFirstNet = 64;
  constexpr int kNets = 128;
  constexpr int kSubnets = 250;
  const int pid = getpid();
  return fmt::format("127.{}.{}.{}", kFirstNet + pid % kNets,
                     pid / kNets % kSubnets, n + 1);
}

std::string RouteText(std::string_view prefix) {
  return fmt::format(
      R"({{"name":"{0}","host":"{1}","path-prefix":"/{0}/","kind":"unsafe",)"
      R"("timeout-ms":2000,"target-latency-ms":200,"priority":1,)"
      R"("service":"{2}","max-attempts":3,"stretch":2}})",
      prefix, kHost, kService);
}

}  // namespace

class Fleet::Impl {
 public:
  Impl(boost::asio::io_context& context,
       FleetSettings settings,
       Observer& observer)
      : context_(context),
        settings_(std::move(settings)),
        observer_(observer),
        random_(settings_.seed) {}

  absl::Status Start();
  size_t size() const { return settings_.entries + settings_.sidecars; }
  bool IsEntry(size_t n) const { return n < settings_.entries; }
  Instance& instance(size_t n) { return *instances_[n]; }
  Upstream& upstream(size_t n) { return *upstreams_[n - settings_.entries]; }
  Relay* relay(size_t n, RelayPlace place) {
    return machines_[n].relays[static_cast<size_t>(place)].get();
  }
  Callers& callers() { return *callers_; }
  standin::PlatformStore& store() { return *store_; }
  std::string PublishConfiguration();
  void SetZoneEvacuated(size_t zone, bool evacuated);
  void BeginDisturbance(size_t n);
  void EndDisturbance(size_t n);
  void CheckExit();
  void EndAllFaults();

 private:
  struct Machine {
    std::array<std::unique_ptr<Relay>, 3> relays;
    /// Number of BeginDisturbance() calls without their EndDisturbance().
    size_t active_disturbances = 0;
  };

  platform::Address StoreEndpoint() const {
    return {HostOf(size()), kStorePort};
  }
  absl::Status AddRelay(size_t n,
                        RelayPlace place,
                        const platform::Address& server);
  absl::Status AddMachine(size_t n);
  absl::Status AddUpstream(size_t n);
  absl::Status WriteSettings(size_t n) const;
  std::string SettingsFile(size_t n) const {
    return fmt::format("{}/instance-{}.json", settings_.folder, n);
  }
  void AddCallers();
  /// Tells the upstream of sidecar `n` whether to check for starts in an
  /// evacuated zone; see Fleet::BeginDisturbance().
  void UpdateZoneCheck(size_t n);

  boost::asio::io_context& context_;
  const FleetSettings settings_;
  Observer& observer_;
  harness::Random random_;
  std::unique_ptr<standin::PlatformStore> store_;
  std::vector<Machine> machines_;
  std::vector<std::unique_ptr<Upstream>> upstreams_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::unique_ptr<Callers> callers_;
  uint64_t version_ = 0;
  std::string routes_;
  std::array<bool, kZones> evacuated_zones_{};
};

absl::Status Fleet::Impl::Start() {
  const platform::Address store = StoreEndpoint();
  auto made = standin::PlatformStore::Create(context_, store.host, store.port);
  if (!made.ok()) {
    return made.status();
  }
  store_ = *std::move(made);
  PublishConfiguration();
  machines_.resize(size());
  for (size_t n = 0; n < size(); ++n) {
    if (absl::Status status = AddMachine(n); !status.ok()) {
      return status;
    }
  }
  observer_.SetAdvanceHook([this] {
    for (const auto& upstream : upstreams_) {
      upstream->Advance();
    }
  });
  AddCallers();
  std::ranges::for_each(instances_, [](const auto& it) { it->Start(); });
  return absl::OkStatus();
}

absl::Status Fleet::Impl::AddRelay(size_t n,
                                   RelayPlace place,
                                   const platform::Address& server) {
  const platform::Address listen = {
      HostOf(n), static_cast<uint16_t>(server.port + kRelayOffset)};
  auto relay = Relay::Create(context_, listen, server);
  if (!relay.ok()) {
    return relay.status();
  }
  machines_[n].relays[static_cast<size_t>(place)] = *std::move(relay);
  return absl::OkStatus();
}

absl::Status Fleet::Impl::AddMachine(size_t n) {
  absl::Status status = AddRelay(n, RelayPlace::kStore, StoreEndpoint());
  if (status.ok()) {
    status = IsEntry(n)
                 ? AddRelay(n, RelayPlace::kCallers, {HostOf(n), kCallerPort})
                 : AddUpstream(n);
  }
  if (status.ok()) {
    status = WriteSettings(n);
  }
  instances_.push_back(std::make_unique<Instance>(
      fmt::format("instance-{}", n), settings_.program, SettingsFile(n),
      fmt::format("{}/instance-{}.log", settings_.folder, n), observer_));
  return status;
}

absl::Status Fleet::Impl::AddUpstream(size_t n) {
  UpstreamSettings settings;
  settings.name = fmt::format("upstream-{}", n);
  settings.zone = ZoneOf(n);
  settings.service = kService;
  settings.listen = {HostOf(n), kUpstreamPort};
  settings.announced_address = {HostOf(n), kUpstreamPort + kRelayOffset};
  settings.sidecar = {HostOf(n), kControlPort};
  settings.clock_rate =
      kSlowestClock + (1 - kSlowestClock) * random_.Fraction();
  settings.seed = random_.Next();
  auto upstream = Upstream::Create(context_, settings, observer_);
  if (!upstream.ok()) {
    return upstream.status();
  }
  upstreams_.push_back(*std::move(upstream));
  return AddRelay(n, RelayPlace::kUpstream, settings.listen);
}

absl::Status Fleet::Impl::WriteSettings(size_t n) const {
  const std::string host = HostOf(n);
  std::string seeds;
  for (size_t seed = 0; seed < std::min(kSeeds, settings_.entries); ++seed) {
    seeds += fmt::format("{}\"{}:{}\"", seeds.empty() ? "" : ",", HostOf(seed),
                         kControlPort);
  }
  const std::string role =
      IsEntry(n)
          ? fmt::format(
                R"("serves":["front","control"],"listen":{{"front":"{0}:{1}",)"
                R"("ready":"{0}:{2}","control":"{0}:{3}"}},)"
                R"("limits":{{"cpu-share":{4},"cores":1}})",
                host, kCallerPort, kReadyPort, kControlPort,
                n == 0 ? kSmallEntryShare : kLargeEntryShare)
          : fmt::format(R"("serves":["side"],"listen":{{"control":"{0}:{1}"}},)"
                        R"("app":"{0}:{2}")",
                        host, kControlPort, kUpstreamPort + kRelayOffset);
  std::ofstream file(SettingsFile(n));
  file << fmt::format(
      R"({{"node":"instance-{}","ip":"{}","zone":"{}",{},"seeds":[{}],)"
      R"("port-range":[{},{}],"platform":{{"address":"{}:{}"}},)"
      R"("bounds":{{"resend-ms":1300,"hold-max-ms":1000,"grace-s":6}}}})",
      n, host, ZoneOf(n), role, seeds, kPeerPort, kPeerPort + 15, host,
      kStorePort + kRelayOffset);
  file.close();
  return file ? absl::OkStatus()
              : absl::UnavailableError("can't write " + SettingsFile(n));
}

void Fleet::Impl::AddCallers() {
  CallerSettings settings;
  settings.host = kHost;
  settings.path_prefix = "/v1/";
  settings.jobs_per_second = settings_.jobs_per_second;
  settings.seed = random_.Next();
  for (size_t n = 0; n < settings_.entries; ++n) {
    settings.entries.push_back({HostOf(n), kCallerPort + kRelayOffset});
    settings.readiness.push_back({HostOf(n), kReadyPort});
  }
  callers_ = Callers::Create(context_, settings, observer_);
}

std::string Fleet::Impl::PublishConfiguration() {
  const std::string prefix = fmt::format("v{}", ++version_);
  routes_ += (routes_.empty() ? "" : ",") + RouteText(prefix);
  store_->Put(
      kOperatorTopic, "config",
      fmt::format(
          R"({{"version":{},"routes":[{}],"services":[{{"name":"{}"}}],)"
          R"("limits":{{"header-bytes":16384,"max-body-bytes":262144,)"
          R"("header-timeout-ms":3000,"idle-timeout-ms":15000}}}})",
          version_, routes_, kService));
  return "/" + prefix + "/";
}

void Fleet::Impl::SetZoneEvacuated(size_t zone, bool evacuated) {
  store_->Put(kOperatorTopic, "evacuate/" + ZoneOf(zone),
              evacuated ? "{}" : "");
  evacuated_zones_[zone] = evacuated;
  for (size_t n = settings_.entries; n < size(); ++n) {
    UpdateZoneCheck(n);
  }
}

void Fleet::Impl::UpdateZoneCheck(size_t n) {
  if (!IsEntry(n)) {
    upstream(n).SetZoneEvacuated(evacuated_zones_[n % kZones] &&
                                 machines_[n].active_disturbances == 0);
  }
}

void Fleet::Impl::BeginDisturbance(size_t n) {
  ++machines_[n].active_disturbances;
  UpdateZoneCheck(n);
}

void Fleet::Impl::EndDisturbance(size_t n) {
  --machines_[n].active_disturbances;
  UpdateZoneCheck(n);
}

void Fleet::Impl::CheckExit() {
  for (const auto& instance : instances_) {
    instance->CheckExit();
  }
}

void Fleet::Impl::EndAllFaults() {
  store_->SetDown(false);
  for (size_t zone = 0; zone < kZones; ++zone) {
    SetZoneEvacuated(zone, false);
  }
  for (const Machine& machine : machines_) {
    for (const auto& relay : machine.relays) {
      if (relay) {
        relay->SetMode(RelayMode::kPass);
      }
    }
  }
  for (const auto& upstream : upstreams_) {
    upstream->SetHanging(false);
    upstream->SetLate(false);
    upstream->Restart();
  }
  for (const auto& instance : instances_) {
    instance->Resume();
    instance->Start();
  }
}

Fleet::Fleet(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Fleet::~Fleet() = default;

absl::StatusOr<std::unique_ptr<Fleet>> Fleet::Start(
    boost::asio::io_context& context,
    const FleetSettings& settings,
    Observer& observer) {
  auto impl = std::make_unique<Impl>(context, settings, observer);
  if (absl::Status status = impl->Start(); !status.ok()) {
    return status;
  }
  return std::unique_ptr<Fleet>(new Fleet(std::move(impl)));
}

size_t Fleet::instances() const {
  return impl_->size();
}

bool Fleet::IsEntry(size_t instance) const {
  return impl_->IsEntry(instance);
}

Instance& Fleet::instance(size_t n) {
  return impl_->instance(n);
}

Upstream& Fleet::upstream(size_t instance) {
  return impl_->upstream(instance);
}

Relay* Fleet::relay(size_t instance, RelayPlace place) {
  return impl_->relay(instance, place);
}

Callers& Fleet::callers() {
  return impl_->callers();
}

void Fleet::SetStoreDown(bool down) {
  impl_->store().SetDown(down);
}

void Fleet::CompactStore() {
  impl_->store().Compact(kOperatorTopic);
}

std::string Fleet::PublishConfiguration() {
  return impl_->PublishConfiguration();
}

void Fleet::SetZoneEvacuated(size_t zone, bool evacuated) {
  impl_->SetZoneEvacuated(zone, evacuated);
}

void Fleet::BeginDisturbance(size_t instance) {
  impl_->BeginDisturbance(instance);
}

void Fleet::EndDisturbance(size_t instance) {
  impl_->EndDisturbance(instance);
}

void Fleet::CheckExit() {
  impl_->CheckExit();
}

void Fleet::EndAllFaults() {
  impl_->EndAllFaults();
}

}  // namespace filbertwick::soak

#include "filbertwick/daemon/daemon.h"

#include <fmt/format.h>

#include <atomic>
#include <map>
#include <random>
#include <utility>
#include <variant>

#include "filbertwick/base/output_loop.h"
#include "filbertwick/core/entry/entry_core.h"
#include "filbertwick/core/sidecar/sidecar_core.h"
#include "filbertwick/daemon/audit_trail.h"
#include "filbertwick/daemon/decision_loop.h"
#include "filbertwick/daemon/network_loop.h"
#include "filbertwick/daemon/platform_loop.h"

namespace filbertwick::daemon {
namespace {

/// Capacity of the core's input queue.
constexpr size_t kMaxDecisionInputs = 65'536;
constexpr size_t kMaxAuditLines = 100'000;
/// Longest time to send the remaining responses after the core has stopped.
constexpr Duration kDrainLimit = std::chrono::seconds(2);

constexpr const char* kAuditPrefix = "audit";
constexpr const char* kCorePrefix = "core";
constexpr const char* kNetworkPrefix = "network";
constexpr const char* kDaemonPrefix = "daemon";

/// A random 64-bit number, never 0. Two starts are not expected to draw the
/// same one.
uint64_t GenerateNonzeroRandom() {
  std::random_device device;
  const uint64_t number = (uint64_t{device()} << 32) | device();
  return number == 0 ? 1 : number;
}

/// A core with an accessor for the text of its bundle, which the core::Core
/// interface does not offer.
struct CoreWithBundle {
  std::unique_ptr<core::Core> core;
  std::function<std::string()> bundle_text;
};

template <typename CoreType>
absl::StatusOr<CoreWithBundle> MakeCoreWithBundle(
    absl::StatusOr<std::unique_ptr<CoreType>> core) {
  if (!core.ok()) {
    return core.status();
  }
  const CoreType* raw = core->get();
  return CoreWithBundle{*std::move(core),
                        [raw] { return raw->control().bundle_text(); }};
}

absl::StatusOr<CoreWithBundle> CreateCore(const Settings& settings) {
  return settings.node.info.role == wire::Role::kEntry
             ? MakeCoreWithBundle(
                   core::EntryCore::Create(settings.node, settings.policy))
             : MakeCoreWithBundle(core::SidecarCore::Create(settings.node));
}

}  // namespace

/// Owns the loops. Their hooks refer to one another, so all loops are created
/// before the decision and network threads start.
class Daemon::Impl {
 public:
  Impl(Settings settings, LogSink sink, StoppedHook stopped)
      : settings_(std::move(settings)),
        stopped_hook_(std::move(stopped)),
        output_(std::move(sink)),
        audit_(kMaxAuditLines) {}

  ~Impl() {
    // All threads end before the members that their hooks use are destroyed.
    // The decision loop is closed first: the platform thread may be waiting for
    // room in its queue.
    if (decisions_) {
      decisions_->Close();
    }
    if (network_) {
      network_->Stop();
    }
    if (decisions_) {
      decisions_->Join();
    }
    platform_.reset();
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  absl::Status Start() {
    settings_.node.info.incarnation = GenerateNonzeroRandom();
    settings_.node.seed = GenerateNonzeroRandom();
    settings_.log.seed = GenerateNonzeroRandom();
    auto network = NetworkLoop::Create(settings_, counters_, MakeHooks());
    if (!network.ok()) {
      return network.status();
    }
    network_ = *std::move(network);
    settings_.node.info = network_->info();
    auto core = CreateCore(settings_);
    if (!core.ok()) {
      return core.status();
    }
    bundle_text_ = core->bundle_text;
    decisions_ = std::make_unique<DecisionLoop>(
        std::move(core->core), kMaxDecisionInputs,
        [this](const core::Core& source, core::Effects& effects) {
          DispatchEffects(source, effects);
        },
        [this](bool ready) {
          output_.Write(kDaemonPrefix, ready ? "ready" : "not ready");
        });
    platform_ = std::make_unique<PlatformLoop>(
        settings_.log,
        [this](core::Event event) { decisions_->Push(std::move(event)); });
    LogStartup();
    decisions_->Start();
    network_->Start();
    return absl::OkStatus();
  }

  void Stop() {
    if (stopping_.exchange(true)) {
      return;
    }
    output_.Write(kDaemonPrefix, "stopping gracefully");
    decisions_->Push(core::Event(core::StopEvent{settings_.stop_deadline}));
  }

  bool ready() const { return !stopping_ && decisions_->ready(); }
  const wire::InstanceInfo& info() const { return settings_.node.info; }
  Counters& counters() { return counters_; }

 private:
  NetworkHooks MakeHooks() {
    NetworkHooks hooks;
    hooks.try_push = [this](DecisionInput& input) {
      return decisions_->TryPushFrom(input);
    };
    hooks.bundle_text = [this] { return bundle_text_(); };
    hooks.ready = [this] { return ready(); };
    hooks.read_audit = [this](wire::LogOffset since) {
      return audit_.Read(since);
    };
    hooks.log = [this](std::string line) {
      output_.Write(kNetworkPrefix, std::move(line));
    };
    return hooks;
  }

  void LogStartup() {
    const wire::InstanceInfo& self = info();
    output_.Write(
        kDaemonPrefix,
        fmt::format("{} started, http {}:{}, udp {}, tcp {}, incarnation {}",
                    self.name.value(), self.address.host,
                    self.address.http_port, self.address.udp_port,
                    self.address.tcp_port, self.incarnation));
  }

  /// Passes each effect to the thread that carries it out. Called on the
  /// decision thread.
  void DispatchEffects(const core::Core& source, core::Effects& effects) {
    NetworkInputs inputs;
    for (core::Effect& effect : effects) {
      std::visit([&](auto& item) { DispatchEffect(source, item, inputs); },
                 effect);
    }
    if (!inputs.empty()) {
      network_->Push(std::move(inputs));
    }
  }

  void DispatchEffect(const core::Core& source,
                      core::SendEffect& effect,
                      NetworkInputs& inputs) {
    const wire::InstanceInfo* info = source.FindPeer(effect.to);
    if (info != nullptr && RecordSentIncarnation(*info)) {
      inputs.emplace_back(PeerUpdate{*info});
    }
    inputs.emplace_back(std::move(effect));
  }
  template <typename Item>
  void DispatchEffect(const core::Core& source,
                      Item& item,
                      NetworkInputs& inputs) {
    DispatchNonSendEffect(source, item, inputs);
  }

  template <typename Item>
  void DispatchNonSendEffect(const core::Core&,
                             Item& item,
                             NetworkInputs& inputs) {
    inputs.emplace_back(std::move(item));
  }
  void DispatchNonSendEffect(const core::Core&,
                             core::AppendEffect& effect,
                             NetworkInputs&) {
    platform_->Append(std::move(effect.record));
  }
  void DispatchNonSendEffect(const core::Core&,
                             core::AuditEffect& effect,
                             NetworkInputs&) {
    output_.Write(kAuditPrefix, FormatAuditLine(effect));
    audit_.Add(std::move(effect));
  }
  void DispatchNonSendEffect(const core::Core&,
                             core::LogEffect& effect,
                             NetworkInputs&) {
    output_.Write(kCorePrefix, std::move(effect.text));
  }
  void DispatchNonSendEffect(const core::Core&,
                             core::StoppedEffect& effect,
                             NetworkInputs& inputs) {
    // The preceding effects are pushed first, so that Drain() waits until their
    // responses are sent as well.
    network_->Push(std::exchange(inputs, {}));
    network_->Drain(kDrainLimit, [this, clean = effect.clean] {
      output_.Write(kDaemonPrefix,
                    clean ? "stopped" : "stopped with work unfinished");
      stopped_hook_(clean);
    });
  }

  /// Records the peer's incarnation as sent to the network thread; true when it
  /// differs from the one that was sent last, so that a PeerUpdate is needed.
  bool RecordSentIncarnation(const wire::InstanceInfo& info) {
    wire::Incarnation& sent = sent_incarnations_[info.name];
    return std::exchange(sent, info.incarnation) != info.incarnation;
  }

  Settings settings_;
  const StoppedHook stopped_hook_;
  Counters counters_;
  OutputLoop output_;
  AuditTrail audit_;
  std::atomic<bool> stopping_ = false;
  /// Called on the decision thread only.
  std::function<std::string()> bundle_text_;
  /// Incarnation of each peer that was last sent to the network thread; used on
  /// the decision thread only.
  std::map<InstanceName, wire::Incarnation> sent_incarnations_;
  std::unique_ptr<NetworkLoop> network_;
  std::unique_ptr<DecisionLoop> decisions_;
  std::unique_ptr<PlatformLoop> platform_;
};

absl::StatusOr<std::unique_ptr<Daemon>> Daemon::Create(Settings settings,
                                                       LogSink sink,
                                                       StoppedHook stopped) {
  auto impl = std::make_unique<Impl>(std::move(settings), std::move(sink),
                                     std::move(stopped));
  if (absl::Status status = impl->Start(); !status.ok()) {
    return status;
  }
  return std::unique_ptr<Daemon>(new Daemon(std::move(impl)));
}

Daemon::Daemon(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

Daemon::~Daemon() = default;

const wire::InstanceInfo& Daemon::info() const {
  return impl_->info();
}

Counters& Daemon::counters() {
  return impl_->counters();
}

bool Daemon::ready() const {
  return impl_->ready();
}

void Daemon::Stop() {
  impl_->Stop();
}

}  // namespace filbertwick::daemon

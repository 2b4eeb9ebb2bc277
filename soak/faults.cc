#include "soak/faults.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string_view>
#include <utility>

#include "filbertwick/harness/random.h"

namespace filbertwick::soak {
namespace {

constexpr std::array<std::string_view, kFaultKinds> kNames = {
    "kill",          "kill_all",        "stop",
    "pause",         "pause_and_reset", "reload",
    "upstream_dies", "upstream_hangs",  "upstream_late",
    "drain",         "relay",           "store_down",
    "store_compact", "configuration",   "zone_out"};
/// Faults for each instance of a fleet, and at least.
constexpr size_t kFaultsPerThreeInstances = 7;
constexpr size_t kMinFaults = 6;
constexpr Duration kShortest = std::chrono::milliseconds(100);
constexpr Duration kLongest = std::chrono::milliseconds(4000);
/// A zone is out for longer: its effect may take five seconds.
constexpr Duration kZoneLongest = std::chrono::milliseconds(9000);
/// Part of the faults that follow the one before at once.
constexpr double kSeriesShare = 0.35;
constexpr Duration kSeriesGap = std::chrono::milliseconds(250);
constexpr std::array<RelayMode, 5> kRelayModes = {
    RelayMode::kDelay, RelayMode::kCutToServer, RelayMode::kCutToClient,
    RelayMode::kSilent, RelayMode::kReset};

RelayPlace PlaceOf(const Fleet& fleet, const Fault& fault, size_t n) {
  if (fault.choice % 3 == 0) {
    return RelayPlace::kStore;
  }
  return fleet.IsEntry(n) ? RelayPlace::kCallers : RelayPlace::kUpstream;
}

size_t SidecarOf(const Fleet& fleet, size_t target) {
  size_t n = target % fleet.instances();
  while (fleet.IsEntry(n)) {
    n = (n + 1) % fleet.instances();
  }
  return n;
}

/// The instance that is meant; any for most faults.
size_t InstanceOf(const Fleet& fleet, const Fault& fault) {
  size_t n = fault.target % fleet.instances();
  while (fault.kind == FaultKind::kPauseAndReset && !fleet.IsEntry(n)) {
    n = (n + 1) % fleet.instances();
  }
  return n;
}

void ForAll(Fleet& fleet, const std::function<void(size_t)>& act) {
  for (size_t n = 0; n < fleet.instances(); ++n) {
    act(n);
  }
}

void SetRelay(Fleet& fleet, const Fault& fault, size_t n, bool begins) {
  Relay& relay = *fleet.relay(n, PlaceOf(fleet, fault, n));
  const RelayMode mode = begins ? kRelayModes[fault.choice % kRelayModes.size()]
                                : RelayMode::kPass;
  relay.SetMode(mode);
  if (mode == RelayMode::kReset) {
    relay.ResetAll();
  }
}

/// Faults of processes, and of what an instance is connected to.
void BeginAtInstance(Fleet& fleet, const Fault& fault, size_t n) {
  Instance& instance = fleet.instance(n);
  fleet.Disturb(n);
  switch (fault.kind) {
    case FaultKind::kKill:
      instance.Kill();
      break;
    case FaultKind::kStop:
      instance.Stop();
      break;
    case FaultKind::kPause:
      instance.Pause();
      break;
    case FaultKind::kPauseAndReset:
      instance.Pause();
      fleet.relay(n, RelayPlace::kCallers)->ResetAll();
      break;
    case FaultKind::kReload:
      instance.Reload();
      break;
    case FaultKind::kRelay:
      SetRelay(fleet, fault, n, true);
      break;
    default:
      break;
  }
}

void EndAtInstance(Fleet& fleet, const Fault& fault, size_t n) {
  Instance& instance = fleet.instance(n);
  if (fault.kind == FaultKind::kKill || fault.kind == FaultKind::kStop ||
      fault.kind == FaultKind::kKillAll) {
    // A start that fails is seen by Heal(), which starts all again.
    instance.Start().IgnoreError();
  } else if (fault.kind == FaultKind::kPause ||
             fault.kind == FaultKind::kPauseAndReset) {
    instance.Resume();
  } else if (fault.kind == FaultKind::kRelay) {
    SetRelay(fleet, fault, n, false);
  }
  fleet.Settle(n);
}

void SwitchUpstream(Upstream& upstream, FaultKind kind, bool begins) {
  switch (kind) {
    case FaultKind::kUpstreamDies:
      begins ? upstream.Die() : upstream.Revive();
      break;
    case FaultKind::kUpstreamHangs:
      upstream.SetHanging(begins);
      break;
    case FaultKind::kUpstreamLate:
      upstream.SetLate(begins);
      break;
    case FaultKind::kDrain:
      if (begins) {
        upstream.Drain();
      }
      break;
    default:
      break;
  }
}

void Begin(Fleet& fleet, const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kKillAll:
      ForAll(fleet, [&](size_t n) {
        fleet.Disturb(n);
        fleet.instance(n).Kill();
      });
      break;
    case FaultKind::kStoreDown:
      ForAll(fleet, [&](size_t n) { fleet.Disturb(n); });
      fleet.SetStoreDown(true);
      break;
    case FaultKind::kStoreCompact:
      fleet.CompactStore();
      break;
    case FaultKind::kConfiguration:
      fleet.PublishConfiguration();
      break;
    case FaultKind::kZoneOut:
      fleet.SetZoneOut(fault.target % Fleet::kZones, true);
      break;
    case FaultKind::kUpstreamDies:
    case FaultKind::kUpstreamHangs:
    case FaultKind::kUpstreamLate:
    case FaultKind::kDrain:
      SwitchUpstream(fleet.upstream(SidecarOf(fleet, fault.target)), fault.kind,
                     true);
      break;
    default:
      BeginAtInstance(fleet, fault, InstanceOf(fleet, fault));
      break;
  }
}

void End(Fleet& fleet, const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kKillAll:
      ForAll(fleet, [&](size_t n) { EndAtInstance(fleet, fault, n); });
      break;
    case FaultKind::kStoreDown:
      fleet.SetStoreDown(false);
      ForAll(fleet, [&](size_t n) { fleet.Settle(n); });
      break;
    case FaultKind::kStoreCompact:
    case FaultKind::kConfiguration:
      break;
    case FaultKind::kZoneOut:
      fleet.SetZoneOut(fault.target % Fleet::kZones, false);
      break;
    case FaultKind::kUpstreamDies:
    case FaultKind::kUpstreamHangs:
    case FaultKind::kUpstreamLate:
    case FaultKind::kDrain:
      SwitchUpstream(fleet.upstream(SidecarOf(fleet, fault.target)), fault.kind,
                     false);
      break;
    default:
      EndAtInstance(fleet, fault, InstanceOf(fleet, fault));
      break;
  }
}

void After(boost::asio::io_context& context,
           Duration wait,
           std::function<void()> act) {
  const auto timer = std::make_shared<boost::asio::steady_timer>(context, wait);
  timer->async_wait(
      [timer, act = std::move(act)](const boost::system::error_code& ec) {
        if (!ec) {
          act();
        }
      });
}

}  // namespace

std::vector<Fault> DrawFaults(uint64_t seed,
                              Duration length,
                              size_t instances) {
  harness::Random random(seed);
  const size_t most =
      std::max(kMinFaults, instances * kFaultsPerThreeInstances / 3);
  std::vector<Fault> faults(most / 2 + random.Below(most / 2 + 1));
  Duration last{0};
  for (Fault& fault : faults) {
    fault.kind = static_cast<FaultKind>(random.Below(kFaultKinds));
    fault.at = random.Chance(kSeriesShare)
                   ? last + random.Between(Duration(0), kSeriesGap)
                   : random.Between(Duration(0), length);
    fault.length = random.Between(
        kShortest, fault.kind == FaultKind::kZoneOut ? kZoneLongest : kLongest);
    fault.target = random.Below(1000);
    fault.choice = random.Below(1000);
    last = fault.at;
  }
  return faults;
}

std::string Describe(const Fault& fault) {
  const auto millis = [](Duration it) {
    return it / std::chrono::milliseconds(1);
  };
  return fmt::format("{} at {} ms for {} ms, target {}, choice {}",
                     kNames[static_cast<size_t>(fault.kind)], millis(fault.at),
                     millis(fault.length), fault.target, fault.choice);
}

void PlayFault(boost::asio::io_context& context,
               Fleet& fleet,
               const Fault& fault) {
  After(context, fault.at, [&fleet, fault] { Begin(fleet, fault); });
  After(context, fault.at + fault.length,
        [&fleet, fault] { End(fleet, fault); });
}

}  // namespace filbertwick::soak

#include "soak/faults.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <functional>
#include <string_view>

#include "filbertwick/harness/random.h"
#include "soak/run_after.h"

namespace filbertwick::soak {
namespace {

constexpr std::array<std::string_view, kFaultKinds> kNames = {
    "kill",          "kill_all",        "stop",
    "pause",         "pause_and_reset", "reload",
    "upstream_dies", "upstream_hangs",  "upstream_late",
    "drain",         "relay",           "store_down",
    "store_compact", "configuration",   "zone_out"};
/// The maximum number of faults of a run is 7 for every three instances, but at
/// least kMinFaults. The number drawn lies between half the maximum and the
/// maximum.
constexpr size_t kFaultsPerThreeInstances = 7;
constexpr size_t kMinFaults = 6;
constexpr Duration kMinFaultLength = std::chrono::milliseconds(100);
constexpr Duration kMaxFaultLength = std::chrono::milliseconds(4000);
/// Longer than kMaxFaultLength, because an evacuation may take five seconds to
/// take effect.
constexpr Duration kMaxEvacuationLength = std::chrono::milliseconds(9000);
/// Probability that a fault starts within kSeriesGap of the fault before it.
constexpr double kSeriesProbability = 0.35;
constexpr Duration kSeriesGap = std::chrono::milliseconds(250);
constexpr std::array<RelayMode, 5> kRelayModes = {
    RelayMode::kDelay, RelayMode::kDiscardToServer, RelayMode::kDiscardToClient,
    RelayMode::kDiscardBoth, RelayMode::kReset};

RelayPlace PlaceOf(const Fleet& fleet, const Fault& fault, size_t n) {
  if (fault.choice % 3 == 0) {
    return RelayPlace::kStore;
  }
  return fleet.IsEntry(n) ? RelayPlace::kCallers : RelayPlace::kUpstream;
}

/// Index of the first sidecar at or after `target`.
size_t SidecarOf(const Fleet& fleet, size_t target) {
  size_t n = target % fleet.instances();
  while (fleet.IsEntry(n)) {
    n = (n + 1) % fleet.instances();
  }
  return n;
}

/// Index of the instance that a fault affects. kPauseAndReset needs an entry
/// and takes the next one.
size_t InstanceOf(const Fleet& fleet, const Fault& fault) {
  size_t n = fault.target % fleet.instances();
  while (fault.kind == FaultKind::kPauseAndReset && !fleet.IsEntry(n)) {
    n = (n + 1) % fleet.instances();
  }
  return n;
}

void ForAll(Fleet& fleet, const std::function<void(size_t)>& callback) {
  for (size_t n = 0; n < fleet.instances(); ++n) {
    callback(n);
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

/// Starts or ends a fault of an instance's process or of its connections.
void ApplyInstanceFault(Fleet& fleet,
                        const Fault& fault,
                        size_t n,
                        bool begins) {
  Instance& instance = fleet.instance(n);
  begins ? fleet.BeginDisturbance(n) : fleet.EndDisturbance(n);
  switch (fault.kind) {
    case FaultKind::kKill:
    case FaultKind::kKillAll:
      begins ? instance.Kill() : instance.Start();
      break;
    case FaultKind::kStop:
      begins ? instance.Stop() : instance.Start();
      break;
    case FaultKind::kPauseAndReset:
      if (begins) {
        fleet.relay(n, RelayPlace::kCallers)->ResetAll();
      }
      [[fallthrough]];
    case FaultKind::kPause:
      begins ? instance.Pause() : instance.Resume();
      break;
    case FaultKind::kReload:
      if (begins) {
        instance.Reload();
      }
      break;
    case FaultKind::kRelay:
      SetRelay(fleet, fault, n, begins);
      break;
    default:
      break;
  }
}

void ApplyUpstreamFault(Upstream& upstream, FaultKind kind, bool begins) {
  switch (kind) {
    case FaultKind::kUpstreamDies:
      begins ? upstream.Crash() : upstream.Restart();
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

/// Starts or ends a fault.
void ApplyFault(Fleet& fleet, const Fault& fault, bool begins) {
  switch (fault.kind) {
    case FaultKind::kKillAll:
      ForAll(fleet,
             [&](size_t n) { ApplyInstanceFault(fleet, fault, n, begins); });
      break;
    case FaultKind::kStoreDown:
      ForAll(fleet, [&](size_t n) {
        begins ? fleet.BeginDisturbance(n) : fleet.EndDisturbance(n);
      });
      fleet.SetStoreDown(begins);
      break;
    case FaultKind::kStoreCompact:
      if (begins) {
        fleet.CompactStore();
      }
      break;
    case FaultKind::kConfiguration:
      if (begins) {
        fleet.PublishConfiguration();
      }
      break;
    case FaultKind::kZoneOut:
      fleet.SetZoneEvacuated(fault.target % Fleet::kZones, begins);
      break;
    case FaultKind::kUpstreamDies:
    case FaultKind::kUpstreamHangs:
    case FaultKind::kUpstreamLate:
    case FaultKind::kDrain:
      ApplyUpstreamFault(fleet.upstream(SidecarOf(fleet, fault.target)),
                         fault.kind, begins);
      break;
    default:
      ApplyInstanceFault(fleet, fault, InstanceOf(fleet, fault), begins);
      break;
  }
}

}  // namespace

std::vector<Fault> DrawFaults(uint64_t seed,
                              Duration length,
                              size_t instances) {
  harness::Random random(seed);
  const size_t max_faults =
      std::max(kMinFaults, instances * kFaultsPerThreeInstances / 3);
  std::vector<Fault> faults(max_faults / 2 + random.Below(max_faults / 2 + 1));
  Duration last{0};
  for (Fault& fault : faults) {
    fault.kind = static_cast<FaultKind>(random.Below(kFaultKinds));
    fault.at = random.Chance(kSeriesProbability)
                   ? last + random.Between(Duration(0), kSeriesGap)
                   : random.Between(Duration(0), length);
    fault.length =
        random.Between(kMinFaultLength, fault.kind == FaultKind::kZoneOut
                                            ? kMaxEvacuationLength
                                            : kMaxFaultLength);
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

void ScheduleFault(boost::asio::io_context& context,
                   Fleet& fleet,
                   const Fault& fault) {
  RunAfter(context, fault.at,
           [&fleet, fault] { ApplyFault(fleet, fault, true); });
  RunAfter(context, fault.at + fault.length,
           [&fleet, fault] { ApplyFault(fleet, fault, false); });
}

}  // namespace filbertwick::soak

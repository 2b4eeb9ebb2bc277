#include "filbertwick/harness/fault_schedule.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace filbertwick::harness {
namespace {

constexpr size_t kFaultKindCount = static_cast<size_t>(FaultKind::kBurst) + 1;
constexpr std::array<std::string_view, kFaultKindCount> kFaultKindNames = {
    "kill_entry",    "kill_sidecar",    "kill_worker",    "pause_entry",
    "pause_sidecar", "isolate",         "cut_one_way",    "cut_zone",
    "disturb_links", "log_down",        "log_slow",       "log_loses_answers",
    "log_trimmed",   "log_unreachable", "zone_out",       "zone_out_and_in",
    "zone_race",     "publish",         "publish_race",   "stop_entry",
    "stop_sidecar",  "upstream_leaves", "executor_fails", "executor_hangs",
    "executor_dies", "restart_all",     "burst",
};
/// A clustered fault begins at most this long after the one drawn before it.
constexpr Duration kClusterSpread = std::chrono::milliseconds(400);
/// Probability that a fault is clustered with the one drawn before it.
constexpr double kClusterProbability = 0.5;
/// Probability that a fault has the target and zone of the one drawn before it.
constexpr double kSameTargetProbability = 0.3;
/// Deadline of a graceful stop.
constexpr Duration kStopDeadline = std::chrono::seconds(3);
constexpr int kBurstJobs = 60;
/// Upper bounds of the drawn link disturbance: probability of loss, duplication
/// and reordering, and extra delay.
constexpr Disturbance kMaxDisturbance = {0.3, 0.3, 0.3,
                                         std::chrono::seconds(2)};

bool TargetsEntry(FaultKind kind) {
  return kind == FaultKind::kKillEntry || kind == FaultKind::kPauseEntry ||
         kind == FaultKind::kStopEntry || kind == FaultKind::kLogUnreachable;
}

bool TargetsSidecar(FaultKind kind) {
  static constexpr std::array kSidecarKinds = {
      FaultKind::kKillSidecar,    FaultKind::kKillWorker,
      FaultKind::kPauseSidecar,   FaultKind::kStopSidecar,
      FaultKind::kUpstreamLeaves, FaultKind::kExecutorFails,
      FaultKind::kExecutorHangs,  FaultKind::kExecutorDies};
  return std::ranges::find(kSidecarKinds, kind) != kSidecarKinds.end();
}

/// Draws an instance that a fault of this kind can affect.
InstanceName DrawTarget(const Deployment& deployment,
                        FaultKind kind,
                        Random& random) {
  std::vector<InstanceName> names;
  if (!TargetsSidecar(kind)) {
    names = deployment.NamesOf(wire::Role::kEntry);
  }
  if (!TargetsEntry(kind) && (TargetsSidecar(kind) || random.Chance(0.5))) {
    names = deployment.NamesOf(wire::Role::kSidecar);
  }
  return names[random.Below(names.size())];
}

/// Publishes the next bundle version as an operator whose view is `lag`
/// versions behind the newest accepted one.
void Publish(Testbed& testbed, uint64_t lag) {
  OperatorPool& pool = testbed.operators();
  uint64_t newest = 1;
  for (size_t change = 0; change < pool.size(); ++change) {
    const auto* body =
        std::get_if<wire::PublishBundle>(&pool.result(change).body);
    if (body && pool.result(change).accepted) {
      newest = std::max(newest, body->version);
    }
  }
  const uint64_t base = newest > lag ? newest - lag : newest;
  const Deployment& deployment = testbed.world().settings().deployment;
  pool.Publish(base + 1, base, deployment.BundleText(base + 1, base));
}

void CutZone(Testbed& testbed, const ZoneName& zone, bool hold) {
  const auto& instances = testbed.world().settings().deployment.instances;
  for (const wire::InstanceInfo& a : instances) {
    for (const wire::InstanceInfo& b : instances) {
      if ((a.zone == zone) != (b.zone == zone)) {
        testbed.world().network().Cut(a.name, b.name, hold);
      }
    }
  }
}

void HealZone(Testbed& testbed, const ZoneName& zone) {
  const auto& instances = testbed.world().settings().deployment.instances;
  for (const wire::InstanceInfo& a : instances) {
    for (const wire::InstanceInfo& b : instances) {
      if ((a.zone == zone) != (b.zone == zone)) {
        testbed.world().network().Heal(a.name, b.name);
      }
    }
  }
}

void HealInstance(Testbed& testbed, const InstanceName& name) {
  for (const wire::InstanceInfo& other :
       testbed.world().settings().deployment.instances) {
    testbed.world().network().Heal(name, other.name);
    testbed.world().network().Heal(other.name, name);
  }
}

void RestartAll(Testbed& testbed, Duration length) {
  for (const wire::InstanceInfo& info :
       testbed.world().settings().deployment.instances) {
    testbed.Kill(info.name);
  }
  testbed.world().loop().After(length, [&testbed] {
    testbed.world().StartAll(std::chrono::milliseconds(300));
  });
}

void SubmitBurst(Testbed& testbed) {
  for (int n = 0; n < kBurstJobs; ++n) {
    testbed.callers().Submit(CallerJob());
  }
}

Disturbance MakeDisturbance(uint64_t choice) {
  const auto share = [&](int shift) {
    return static_cast<double>((choice >> shift) & 0xff) / 255.0;
  };
  Disturbance link = kMaxDisturbance;
  link.loss *= share(0);
  link.duplication *= share(8);
  link.reordering *= share(16);
  link.max_extra_delay = Duration(static_cast<int64_t>(
      static_cast<double>(link.max_extra_delay.count()) * share(24)));
  return link;
}

/// Begins a fault of a process or executor; ignores other kinds.
void BeginProcessFault(Testbed& testbed, const Fault& fault) {
  switch (fault.kind) {
    case FaultKind::kKillEntry:
    case FaultKind::kKillSidecar:
      testbed.Kill(fault.target);
      break;
    case FaultKind::kKillWorker:
      testbed.KillWorker(fault.target);
      break;
    case FaultKind::kPauseEntry:
      testbed.world().Pause(fault.target, fault.choice % 2 == 0);
      break;
    case FaultKind::kPauseSidecar:
      testbed.world().Pause(fault.target, false);
      break;
    case FaultKind::kStopEntry:
    case FaultKind::kStopSidecar:
      testbed.world().Stop(fault.target, kStopDeadline);
      break;
    case FaultKind::kUpstreamLeaves:
      testbed.SetLeaving(fault.target, true);
      break;
    case FaultKind::kExecutorFails:
      testbed.world().SetExecutorMode(fault.target, ExecutorMode::kFails);
      break;
    case FaultKind::kExecutorHangs:
      testbed.world().SetExecutorMode(fault.target, ExecutorMode::kHangs);
      break;
    case FaultKind::kExecutorDies:
      testbed.world().SetExecutorMode(fault.target, ExecutorMode::kDead);
      break;
    default:
      break;
  }
}

/// Begins a fault of links or of the control log; ignores other kinds.
void BeginLinkOrLogFault(Testbed& testbed, const Fault& fault) {
  const bool hold = fault.choice % 2 == 0;
  ControlLog& log = testbed.world().log();
  switch (fault.kind) {
    case FaultKind::kIsolate:
      testbed.Isolate(fault.target, true, true, hold);
      break;
    case FaultKind::kCutOneWay:
      testbed.Isolate(fault.target, fault.choice % 4 < 2, fault.choice % 4 >= 2,
                      hold);
      break;
    case FaultKind::kCutZone:
      CutZone(testbed, fault.zone, hold);
      break;
    case FaultKind::kDisturbLinks:
      testbed.world().network().SetDisturbance(MakeDisturbance(fault.choice));
      break;
    case FaultKind::kLogDown:
      log.SetDown(true);
      break;
    case FaultKind::kLogSlow:
      log.SetMaxExtraDelay(fault.length);
      break;
    case FaultKind::kLogLosesAnswers:
      log.LoseAnswers(1 + fault.choice % 8);
      break;
    case FaultKind::kLogTrimmed:
      log.Trim();
      break;
    case FaultKind::kLogUnreachable:
      log.SetUnreachable(fault.target, true);
      break;
    default:
      break;
  }
}

/// Begins an action of operators or callers, or a restart of the whole
/// deployment; ignores other kinds.
void BeginOperatorOrCallerAction(Testbed& testbed, const Fault& fault) {
  OperatorPool& pool = testbed.operators();
  switch (fault.kind) {
    case FaultKind::kZoneOut:
    case FaultKind::kZoneOutAndIn:
      pool.SetZone(fault.zone, true);
      break;
    case FaultKind::kZoneRace:
      pool.SetZone(fault.zone, true);
      pool.SetZone(fault.zone, false);
      pool.SetZone(fault.zone, true);
      break;
    case FaultKind::kPublish:
      Publish(testbed, 0);
      break;
    case FaultKind::kPublishRace:
      Publish(testbed, 0);
      Publish(testbed, 0);
      Publish(testbed, 1);
      break;
    case FaultKind::kRestartAll:
      RestartAll(testbed, fault.length);
      break;
    case FaultKind::kBurst:
      SubmitBurst(testbed);
      break;
    default:
      break;
  }
}

void Begin(Testbed& testbed, const Fault& fault) {
  BeginProcessFault(testbed, fault);
  BeginLinkOrLogFault(testbed, fault);
  BeginOperatorOrCallerAction(testbed, fault);
}

void End(Testbed& testbed, const Fault& fault) {
  World& world = testbed.world();
  switch (fault.kind) {
    case FaultKind::kKillEntry:
    case FaultKind::kKillSidecar:
    case FaultKind::kStopEntry:
    case FaultKind::kStopSidecar:
      world.Start(fault.target);
      break;
    case FaultKind::kKillWorker:
      world.SetExecutorMode(fault.target, ExecutorMode::kNormal);
      world.Start(fault.target);
      break;
    case FaultKind::kPauseEntry:
    case FaultKind::kPauseSidecar:
      world.Resume(fault.target);
      break;
    case FaultKind::kIsolate:
    case FaultKind::kCutOneWay:
      HealInstance(testbed, fault.target);
      break;
    case FaultKind::kCutZone:
      HealZone(testbed, fault.zone);
      break;
    case FaultKind::kDisturbLinks:
      world.network().SetDisturbance({});
      break;
    case FaultKind::kLogDown:
      world.log().SetDown(false);
      break;
    case FaultKind::kLogSlow:
      world.log().SetMaxExtraDelay(Duration(0));
      break;
    case FaultKind::kLogUnreachable:
      world.log().SetUnreachable(fault.target, false);
      break;
    case FaultKind::kZoneOutAndIn:
      testbed.operators().SetZone(fault.zone, false);
      break;
    case FaultKind::kUpstreamLeaves:
      testbed.SetLeaving(fault.target, false);
      break;
    case FaultKind::kExecutorFails:
    case FaultKind::kExecutorHangs:
    case FaultKind::kExecutorDies:
      world.SetExecutorMode(fault.target, ExecutorMode::kNormal);
      break;
    default:
      break;
  }
}

}  // namespace

std::string Describe(const Fault& fault) {
  std::string text = fmt::format(
      "{:.3f}s {} for {:.3f}s", static_cast<double>(fault.at.count()) / 1e6,
      kFaultKindNames[static_cast<size_t>(fault.kind)],
      static_cast<double>(fault.length.count()) / 1e6);
  return fmt::format("{} {} {} choice={}", text, fault.target.value(),
                     fault.zone.value(), fault.choice % 16);
}

std::vector<Fault> DrawFaults(const Deployment& deployment,
                              const ScheduleSettings& settings,
                              Random& random) {
  std::vector<Fault> faults(1 + random.Below(settings.max_faults));
  for (size_t n = 0; n < faults.size(); ++n) {
    Fault& fault = faults[n];
    fault.kind = static_cast<FaultKind>(random.Below(kFaultKindCount));
    fault.at = random.Between(Duration(0), settings.window);
    fault.length = random.Between(settings.shortest, settings.longest);
    fault.target = DrawTarget(deployment, fault.kind, random);
    fault.zone = deployment.zones[random.Below(deployment.zones.size())];
    fault.choice = random.Next();
    if (n == 0) {
      continue;
    }
    // Clusters some faults in time, and lets some affect the same target or
    // zone as the one before.
    const Fault& before = faults[n - 1];
    if (random.Chance(kClusterProbability)) {
      fault.at = before.at + random.Between(Duration(0), kClusterSpread);
    }
    if (random.Chance(kSameTargetProbability)) {
      fault.zone = before.zone;
      const bool same_role =
          TargetsEntry(fault.kind) == TargetsEntry(before.kind) &&
          TargetsSidecar(fault.kind) == TargetsSidecar(before.kind);
      fault.target = same_role ? before.target : fault.target;
    }
  }
  std::ranges::stable_sort(faults, {}, &Fault::at);
  return faults;
}

void ScheduleFault(Testbed& testbed, const Fault& fault) {
  EventLoop& loop = testbed.world().loop();
  loop.After(fault.at, [&testbed, fault] { Begin(testbed, fault); });
  loop.After(fault.at + fault.length,
             [&testbed, fault] { End(testbed, fault); });
}

}  // namespace filbertwick::harness

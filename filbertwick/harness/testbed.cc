#include "filbertwick/harness/testbed.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace filbertwick::harness {
namespace {

/// Interval at which the bundle versions of all instances are sampled.
constexpr Duration kBundleSampleInterval = std::chrono::milliseconds(500);
/// Interval at which Boot() checks whether all entries are ready.
constexpr Duration kBootPollInterval = std::chrono::milliseconds(50);
/// Boot() starts all instances within this time.
constexpr Duration kBootStartSpread = std::chrono::milliseconds(100);
/// Jobs that CheckRecovery() submits through each entry, and the interval at
/// which it checks for their answers.
constexpr int kRecoveryJobsPerEntry = 2;
constexpr Duration kRecoveryPollInterval = std::chrono::milliseconds(250);

}  // namespace

absl::StatusOr<std::unique_ptr<Testbed>> Testbed::Create(
    TestbedSettings settings) {
  const uint64_t seed = settings.world.seed;
  auto world = World::Create(std::move(settings.world));
  if (!world.ok()) {
    return world.status();
  }
  auto testbed = std::unique_ptr<Testbed>(new Testbed());
  testbed->world_ = std::move(*world);
  World& w = *testbed->world_;
  testbed->observer_ =
      std::make_unique<Observer>(w.settings().deployment, settings.observer);
  Observer& observer = *testbed->observer_;
  testbed->callers_ =
      std::make_unique<CallerPool>(w, observer, seed + 1, settings.callers);
  testbed->operators_ = std::make_unique<OperatorPool>(w, observer, seed + 2);
  // Report starts and ends of tasks at executors and stray answers to the
  // observer.
  WorldHooks hooks;
  hooks.started = [&w, &observer](const InstanceName& sidecar,
                                  const core::StartExecutionEffect& start) {
    observer.OnStart(sidecar, start, w.loop().now());
  };
  hooks.ended = [&observer](const InstanceName& sidecar,
                            const core::ExecutionEndedEvent& event) {
    observer.OnEnd(sidecar, event);
  };
  hooks.stray_answer = [&w, &observer](const InstanceName& entry,
                                       wire::RequestId request) {
    observer.OnStrayAnswer(entry, request, w.loop().now());
  };
  w.SetHooks(std::move(hooks));
  testbed->SampleBundles();
  return testbed;
}

Testbed::~Testbed() = default;

bool Testbed::Boot(Duration limit) {
  const Deployment& deployment = world_->settings().deployment;
  world_->StartAll(kBootStartSpread);
  world_->Run(kBootStartSpread + kBootPollInterval);
  operators_->Publish(1, 0, deployment.BundleText(1, 0));
  const auto entries = deployment.NamesOf(wire::Role::kEntry);
  const Duration end = world_->loop().now() + limit;
  while (world_->loop().now() < end) {
    world_->Run(kBootPollInterval);
    if (std::ranges::all_of(entries, [this](const InstanceName& it) {
          return world_->IsReady(it);
        })) {
      return true;
    }
  }
  return false;
}

void Testbed::Heal() {
  world_->network().HealAll();
  world_->network().SetDisturbance({});
  world_->network().SetFilter({});
  world_->log().SetDown(false);
  world_->log().SetMaxExtraDelay(Duration(0));
  world_->log().LoseAnswers(0);
  for (const wire::InstanceInfo& info :
       world_->settings().deployment.instances) {
    world_->log().SetUnreachable(info.name, false);
    world_->Resume(info.name);
    if (info.role == wire::Role::kSidecar) {
      world_->SetExecutorMode(info.name, ExecutorMode::kNormal);
      SetLeaving(info.name, false);
    }
    world_->Start(info.name);
  }
  for (const ZoneName& zone : world_->settings().deployment.zones) {
    operators_->SetZone(zone, false);
  }
}

void Testbed::CheckRecovery(Duration limit) {
  std::vector<size_t> jobs;
  for (int n = 0; n < kRecoveryJobsPerEntry; ++n) {
    for (const InstanceName& entry :
         world_->settings().deployment.NamesOf(wire::Role::kEntry)) {
      CallerJob job;
      job.entry = entry;
      job.submit_only = true;
      jobs.push_back(callers_->Submit(job));
    }
  }
  const auto is_answered = [this](size_t job) {
    return callers_->result(job).answer.has_value();
  };
  // Run the world until every caller has an answer.
  const Duration end = world_->loop().now() + limit;
  while (world_->loop().now() < end && callers_->Counts().unanswered > 0) {
    world_->Run(kRecoveryPollInterval);
  }
  const Duration now = world_->loop().now();
  for (const size_t job : jobs) {
    const CallerResult& result = callers_->result(job);
    if (!is_answered(job) ||
        result.answer->outcome != wire::JobOutcome::kComplete) {
      observer_->Report(
          "recovery",
          fmt::format("{} after all faults: {}", result.spec.id.value(),
                      is_answered(job)
                          ? fmt::format("{} ({})",
                                        wire::ToString(result.answer->outcome),
                                        wire::ToString(result.answer->reason))
                          : "no answer"),
          now);
    }
  }
  for (size_t job = 0; job < callers_->size(); ++job) {
    if (!is_answered(job)) {
      observer_->Report("liveness",
                        fmt::format("{} has no answer",
                                    callers_->result(job).spec.id.value()),
                        now);
    }
  }
  CheckBundlesInForce();
}

void Testbed::CheckBundlesInForce() {
  uint64_t accepted = 0;
  for (size_t change = 0; change < operators_->size(); ++change) {
    const ChangeResult& result = operators_->result(change);
    const auto* publish = std::get_if<wire::PublishBundle>(&result.body);
    if (publish && result.accepted) {
      accepted = std::max(accepted, publish->version);
    }
  }
  for (const wire::InstanceInfo& info :
       world_->settings().deployment.instances) {
    const uint64_t version = world_->Status(info.name).bundle_version;
    if (version < accepted) {
      observer_->Report("in_force",
                        fmt::format("{} has bundle {}, accepted is {}",
                                    info.name.value(), version, accepted),
                        world_->loop().now());
    }
  }
}

void Testbed::Kill(const InstanceName& name) {
  world_->Kill(name);
  if (world_->settings().deployment.Find(name)->role == wire::Role::kSidecar) {
    observer_->OnWorkerLost(name);
  }
}

void Testbed::KillWorker(const InstanceName& sidecar) {
  Kill(sidecar);
  world_->SetExecutorMode(sidecar, ExecutorMode::kDead);
}

void Testbed::SetLeaving(const InstanceName& sidecar, bool leaving) {
  observer_->OnLeaving(sidecar, leaving, world_->loop().now());
  world_->SetLeaving(sidecar, leaving);
}

void Testbed::Isolate(const InstanceName& name, bool from, bool to, bool hold) {
  for (const wire::InstanceInfo& other :
       world_->settings().deployment.instances) {
    if (other.name == name) {
      continue;
    }
    if (from) {
      world_->network().Cut(name, other.name, hold);
    }
    if (to) {
      world_->network().Cut(other.name, name, hold);
    }
  }
}

void Testbed::SampleBundles() {
  for (const wire::InstanceInfo& info :
       world_->settings().deployment.instances) {
    if (world_->FindCore(info.name)) {
      const core::CoreStatus status = world_->Status(info.name);
      observer_->OnBundle(status.info, status.bundle_version,
                          world_->loop().now());
    }
  }
  world_->loop().After(kBundleSampleInterval, [this] { SampleBundles(); });
}

}  // namespace filbertwick::harness

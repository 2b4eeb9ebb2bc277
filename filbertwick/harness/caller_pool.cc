#include "filbertwick/harness/caller_pool.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace filbertwick::harness {
namespace {

/// A refused caller takes the advice when to retry within these bounds.
constexpr Duration kShortestRetry = std::chrono::milliseconds(1);
constexpr Duration kLongestRetry = std::chrono::seconds(2);
/// A caller that finds nobody tries again after this.
constexpr Duration kNobodyPause = std::chrono::milliseconds(100);

/// A UUIDv7 born at `unix_millis`.
std::string MakeUuid(int64_t unix_millis, Random& random) {
  const uint64_t a = random.Next();
  const uint64_t b = random.Next();
  return fmt::format("{:08x}-{:04x}-7{:03x}-8{:03x}-{:012x}",
                     static_cast<uint64_t>(unix_millis) >> 16,
                     static_cast<uint64_t>(unix_millis) & 0xffff, a & 0xfff,
                     (a >> 12) & 0xfff, b & 0xffffffffffff);
}

}  // namespace

class CallerPool::Impl {
 public:
  Impl(World& owner,
       Observer& watcher,
       uint64_t seed,
       const CallerSettings& set)
      : world(owner),
        observer(watcher),
        random(seed),
        settings(set),
        entries(owner.settings().deployment.NamesOf(wire::Role::kEntry)) {}

  /// A job with the requests that are open.
  struct Call {
    CallerResult result;
    bool impatient = false;
    InstanceName last_entry;
    std::vector<wire::RequestId> open;
  };

  wire::JobSpec MakeSpec(const CallerJob& job);
  void Send(Call& call, const InstanceName& entry);
  void SendNext(Call& call);
  void OnAnswer(Call& call,
                wire::RequestId request,
                const core::AnswerEffect* effect);
  void OnTimeout(Call& call, wire::RequestId request);
  InstanceName PickEntry(const InstanceName& avoid);
  void Ask(Call& call, const InstanceName& entry, wire::JobQuery query);

  World& world;
  Observer& observer;
  Random random;
  CallerSettings settings;
  std::vector<InstanceName> entries;
  std::vector<std::unique_ptr<Call>> calls;
};

wire::JobSpec CallerPool::Impl::MakeSpec(const CallerJob& job) {
  const Deployment& deployment = world.settings().deployment;
  wire::JobSpec spec;
  spec.id =
      JobId(job.id.empty() ? MakeUuid(world.WallMillis(), random) : job.id);
  spec.service = deployment.service;
  spec.team = deployment.team;
  spec.deadline = job.deadline;
  const uint64_t nonce = random.Next();
  for (uint32_t index = 0; index < job.tasks; ++index) {
    std::string payload =
        fmt::format("{}/{}/{:x}", spec.id.value(), index, nonce);
    payload.resize(std::max(payload.size(), job.payload_bytes), '.');
    spec.payloads.push_back(std::move(payload));
  }
  spec.digest = wire::DigestJob(spec);
  return spec;
}

InstanceName CallerPool::Impl::PickEntry(const InstanceName& avoid) {
  std::vector<InstanceName> ready;
  std::ranges::copy_if(
      entries, std::back_inserter(ready),
      [&](const InstanceName& it) { return it != avoid && world.IsReady(it); });
  if (ready.empty()) {
    std::ranges::copy_if(entries, std::back_inserter(ready),
                         [&](const InstanceName& it) { return it != avoid; });
  }
  return ready.empty() ? avoid : ready[random.Below(ready.size())];
}

void CallerPool::Impl::Send(Call& call, const InstanceName& entry) {
  call.last_entry = entry;
  ++call.result.requests;
  // The answer cannot come before Submit() has returned the number.
  auto number = std::make_shared<wire::RequestId>(0);
  *number = world.Submit(entry, call.result.spec,
                         [this, &call, number](const core::AnswerEffect* it) {
                           OnAnswer(call, *number, it);
                         });
  observer.OnRequest(*number, call.result.spec, world.loop().now());
  call.open.push_back(*number);
  world.loop().After(
      random.Between(settings.timeout_min, settings.timeout_max),
      [this, &call, request = *number] { OnTimeout(call, request); });
}

void CallerPool::Impl::SendNext(Call& call) {
  world.loop().After(random.Between(settings.pause_min, settings.pause_max),
                     [this, &call] {
                       if (!call.result.answer) {
                         Send(call, PickEntry(call.last_entry));
                       }
                     });
}

void CallerPool::Impl::OnTimeout(Call& call, wire::RequestId request) {
  if (call.result.answer || std::erase(call.open, request) == 0) {
    return;
  }
  if (call.impatient) {
    call.open.push_back(request);
  } else {
    world.HangUp(request);
  }
  SendNext(call);
}

void CallerPool::Impl::OnAnswer(Call& call,
                                wire::RequestId request,
                                const core::AnswerEffect* effect) {
  const bool waited = std::erase(call.open, request) > 0;
  // A broken connection: the job is resubmitted through another entry.
  if (!effect) {
    if (waited && !call.result.answer) {
      world.loop().After(kNobodyPause, [this, &call] {
        if (!call.result.answer) {
          Send(call, PickEntry(call.last_entry));
        }
      });
    }
    return;
  }
  // A caller that hung up sees no answer any more.
  if (!waited) {
    return;
  }
  const Duration now = world.loop().now();
  observer.OnAnswer(request, effect->answer, now);
  if (call.result.answer) {
    return;
  }
  // A refusal is retried as long as the caller has patience.
  const bool refused = effect->answer.outcome == wire::JobOutcome::kRefused;
  const bool patient = now - call.result.submitted < settings.patience;
  if (refused && patient) {
    world.loop().After(
        std::clamp(effect->answer.retry_after, kShortestRetry, kLongestRetry),
        [this, &call] {
          if (!call.result.answer && call.open.empty()) {
            SendNext(call);
          }
        });
    return;
  }
  call.result.answer = effect->answer;
  call.result.answered = now;
}

void CallerPool::Impl::Ask(Call& call,
                           const InstanceName& entry,
                           wire::JobQuery query) {
  auto number = std::make_shared<wire::RequestId>(0);
  *number = world.Query(entry, call.result.spec.id, query,
                        [this, number](const core::AnswerEffect* it) {
                          if (it) {
                            observer.OnAnswer(*number, it->answer,
                                              world.loop().now());
                          }
                        });
  observer.OnQuery(*number, call.result.spec, query, world.loop().now());
}

CallerPool::CallerPool(World& world,
                       Observer& observer,
                       uint64_t seed,
                       const CallerSettings& settings)
    : impl_(std::make_unique<Impl>(world, observer, seed, settings)) {}
CallerPool::~CallerPool() = default;

size_t CallerPool::Submit(const CallerJob& job) {
  const size_t number = impl_->calls.size();
  auto& call = *impl_->calls.emplace_back(std::make_unique<Impl::Call>());
  call.result.spec = impl_->MakeSpec(job);
  call.result.submitted = impl_->world.loop().now();
  call.impatient = impl_->random.Chance(impl_->settings.impatience);
  impl_->Send(call,
              job.entry.empty() ? impl_->PickEntry(InstanceName()) : job.entry);
  if (job.steady) {
    return number;
  }
  // Some callers change their mind, or use an id for two bodies.
  const auto soon = [this] {
    return impl_->random.Between(Duration(0), std::chrono::milliseconds(600));
  };
  if (impl_->random.Chance(impl_->settings.cancels)) {
    impl_->world.loop().After(soon(), [this, number] {
      Cancel(number, impl_->PickEntry(InstanceName()));
    });
  }
  if (impl_->random.Chance(impl_->settings.clashes)) {
    impl_->world.loop().After(soon(), [this, number] {
      Clash(number, impl_->PickEntry(InstanceName()));
    });
  }
  return number;
}

void CallerPool::Resubmit(size_t job, const InstanceName& entry) {
  impl_->Send(*impl_->calls.at(job), entry);
}

void CallerPool::Clash(size_t job, const InstanceName& entry) {
  CallerJob other;
  const CallerResult& first = impl_->calls.at(job)->result;
  other.id = first.spec.id.value();
  other.tasks = static_cast<uint32_t>(first.spec.payloads.size());
  const wire::JobSpec spec = impl_->MakeSpec(other);
  auto number = std::make_shared<wire::RequestId>(0);
  *number = impl_->world.Submit(
      entry, spec, [this, number](const core::AnswerEffect* it) {
        if (it) {
          impl_->observer.OnAnswer(*number, it->answer,
                                   impl_->world.loop().now());
        }
      });
  impl_->observer.OnRequest(*number, spec, impl_->world.loop().now());
}

void CallerPool::Cancel(size_t job, const InstanceName& entry) {
  impl_->Ask(*impl_->calls.at(job), entry, wire::JobQuery::kCancel);
}

std::string CallerPool::MakeId() {
  return MakeUuid(impl_->world.WallMillis(), impl_->random);
}

const CallerResult& CallerPool::result(size_t job) const {
  return impl_->calls.at(job)->result;
}

size_t CallerPool::size() const {
  return impl_->calls.size();
}

CallerCounts CallerPool::Counts() const {
  CallerCounts counts;
  for (const auto& call : impl_->calls) {
    ++counts.jobs;
    if (!call->result.answer) {
      ++counts.unanswered;
      continue;
    }
    const wire::JobAnswer& answer = *call->result.answer;
    if (answer.outcome != wire::JobOutcome::kComplete) {
      ++counts.reasons[answer.reason];
    }
    switch (answer.outcome) {
      case wire::JobOutcome::kComplete:
        ++counts.complete;
        break;
      case wire::JobOutcome::kFailed:
        ++counts.failed;
        break;
      case wire::JobOutcome::kRefused:
        ++counts.refused;
        break;
    }
  }
  return counts;
}

}  // namespace filbertwick::harness

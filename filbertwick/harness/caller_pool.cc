#include "filbertwick/harness/caller_pool.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace filbertwick::harness {
namespace {

/// Bounds to which a refused caller clamps JobAnswer::retry_after.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(1);
constexpr Duration kMaxRetryDelay = std::chrono::seconds(2);
/// Delay before a caller whose connection broke tries another entry.
constexpr Duration kReconnectDelay = std::chrono::milliseconds(100);

/// Returns a random UUIDv7 with the timestamp `unix_millis`.
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
  Impl(World& shared_world,
       Observer& shared_observer,
       uint64_t seed,
       const CallerSettings& caller_settings)
      : world(shared_world),
        observer(shared_observer),
        random(seed),
        settings(caller_settings),
        entries(
            shared_world.settings().deployment.NamesOf(wire::Role::kEntry)) {}

  /// A job and its open requests.
  struct Call {
    CallerResult result;
    /// Resubmits without closing the earlier connection.
    bool overlaps_requests = false;
    InstanceName last_entry;
    std::vector<wire::RequestId> open;
  };

  /// Makes the specification of a job; its payloads contain a random number, so
  /// that two specifications with the same id have different bodies.
  wire::JobSpec MakeSpec(const CallerJob& job);
  void Send(Call& call, const InstanceName& entry);
  /// Sends the job through another entry after a random delay, unless it has a
  /// final answer by then.
  void ScheduleResubmission(Call& call);
  void OnAnswer(Call& call,
                wire::RequestId request,
                const core::AnswerEffect* effect);
  void OnTimeout(Call& call, wire::RequestId request);
  /// Returns a random entry other than `avoid`, preferably one that is ready;
  /// `avoid` if there is no other.
  InstanceName PickEntry(const InstanceName& avoid);
  void SendQuery(Call& call, const InstanceName& entry, wire::JobQuery query);

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
  // The hook needs the id that Submit() returns. It runs only later, from the
  // event loop, when the id has been set.
  auto request_id = std::make_shared<wire::RequestId>(0);
  *request_id =
      world.Submit(entry, call.result.spec,
                   [this, &call, request_id](const core::AnswerEffect* it) {
                     OnAnswer(call, *request_id, it);
                   });
  observer.OnRequest(*request_id, call.result.spec, world.loop().now());
  call.open.push_back(*request_id);
  world.loop().After(
      random.Between(settings.timeout_min, settings.timeout_max),
      [this, &call, request = *request_id] { OnTimeout(call, request); });
}

void CallerPool::Impl::ScheduleResubmission(Call& call) {
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
  if (call.overlaps_requests) {
    call.open.push_back(request);
  } else {
    world.AbandonRequest(request);
  }
  ScheduleResubmission(call);
}

void CallerPool::Impl::OnAnswer(Call& call,
                                wire::RequestId request,
                                const core::AnswerEffect* effect) {
  const bool was_open = std::erase(call.open, request) > 0;
  // The connection broke: resubmit the job through another entry.
  if (!effect) {
    if (was_open && !call.result.answer) {
      world.loop().After(kReconnectDelay, [this, &call] {
        if (!call.result.answer) {
          Send(call, PickEntry(call.last_entry));
        }
      });
    }
    return;
  }
  // The caller has closed this connection and does not see the answer.
  if (!was_open) {
    return;
  }
  const Duration now = world.loop().now();
  observer.OnAnswer(request, effect->answer, now);
  if (call.result.answer) {
    return;
  }
  // A refusal is retried for a limited time after the first request.
  const bool refused = effect->answer.outcome == wire::JobOutcome::kRefused;
  const bool may_retry =
      now - call.result.submitted < settings.refusal_retry_window;
  if (refused && may_retry) {
    world.loop().After(
        std::clamp(effect->answer.retry_after, kMinRetryDelay, kMaxRetryDelay),
        [this, &call] {
          if (!call.result.answer && call.open.empty()) {
            ScheduleResubmission(call);
          }
        });
    return;
  }
  call.result.answer = effect->answer;
  call.result.answered = now;
}

void CallerPool::Impl::SendQuery(Call& call,
                                 const InstanceName& entry,
                                 wire::JobQuery query) {
  auto request_id = std::make_shared<wire::RequestId>(0);
  *request_id = world.Query(entry, call.result.spec.id, query,
                            [this, request_id](const core::AnswerEffect* it) {
                              if (it) {
                                observer.OnAnswer(*request_id, it->answer,
                                                  world.loop().now());
                              }
                            });
  observer.OnQuery(*request_id, call.result.spec, query, world.loop().now());
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
  call.overlaps_requests =
      impl_->random.Chance(impl_->settings.overlap_probability);
  impl_->Send(call,
              job.entry.empty() ? impl_->PickEntry(InstanceName()) : job.entry);
  if (job.submit_only) {
    return number;
  }
  // Some callers cancel their job, or send its id with another body.
  const auto draw_delay = [this] {
    return impl_->random.Between(Duration(0), std::chrono::milliseconds(600));
  };
  if (impl_->random.Chance(impl_->settings.cancel_probability)) {
    impl_->world.loop().After(draw_delay(), [this, number] {
      Cancel(number, impl_->PickEntry(InstanceName()));
    });
  }
  if (impl_->random.Chance(impl_->settings.clash_probability)) {
    impl_->world.loop().After(draw_delay(), [this, number] {
      Clash(number, impl_->PickEntry(InstanceName()));
    });
  }
  return number;
}

void CallerPool::Resubmit(size_t job, const InstanceName& entry) {
  impl_->Send(*impl_->calls.at(job), entry);
}

void CallerPool::Clash(size_t job, const InstanceName& entry) {
  CallerJob conflicting_job;
  const CallerResult& first = impl_->calls.at(job)->result;
  conflicting_job.id = first.spec.id.value();
  conflicting_job.tasks = static_cast<uint32_t>(first.spec.payloads.size());
  const wire::JobSpec spec = impl_->MakeSpec(conflicting_job);
  auto request_id = std::make_shared<wire::RequestId>(0);
  *request_id = impl_->world.Submit(
      entry, spec, [this, request_id](const core::AnswerEffect* it) {
        if (it) {
          impl_->observer.OnAnswer(*request_id, it->answer,
                                   impl_->world.loop().now());
        }
      });
  impl_->observer.OnRequest(*request_id, spec, impl_->world.loop().now());
}

void CallerPool::Cancel(size_t job, const InstanceName& entry) {
  impl_->SendQuery(*impl_->calls.at(job), entry, wire::JobQuery::kCancel);
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

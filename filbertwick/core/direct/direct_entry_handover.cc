#include <fmt/format.h>

#include "filbertwick/base/hash.h"
#include "filbertwick/core/direct/direct_entry_impl.h"
#include "filbertwick/core/direct/names.h"

namespace filbertwick::core::direct {
namespace {

/// A job with less time left is not handed over: the round trips and a decline
/// would take much of it.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(100);
/// Maximum encoded size of a job that is handed over, in bytes.
constexpr size_t kMaxJobBytes = 15 * 1024;
static_assert(kMaxJobBytes < policy::kMaxPartBytes);
/// Bounds of a job from another entry; wider than those of callers' jobs.
constexpr size_t kMaxTasks = 1000;
constexpr Duration kMaxTime = std::chrono::hours(24);
constexpr int64_t kMaxResource = int64_t{1} << 40;
constexpr uint64_t kMaxRunNumber = uint64_t{1} << 62;
/// Waiting jobs handed over at a time, and the interval: about as many as a
/// small entry gets meanwhile.
constexpr size_t kMaxWaitingHandovers = 4;
constexpr Duration kWaitingHandoverInterval = std::chrono::milliseconds(20);

bool IsTime(Duration time) {
  return time >= Duration(0) && time <= kMaxTime;
}

bool IsResource(int64_t value) {
  return value >= 0 && value <= kMaxResource;
}

/// Returns true when the job could come from a caller. The bytes of a datagram
/// can decode to any values.
bool IsRunnable(const JobRequest& job) {
  uint64_t tasks = 0;
  for (size_t n = 0; n < job.steps.size(); ++n) {
    const JobStep& step = job.steps[n];
    tasks += step.count;
    if (step.count == 0 || !IsTime(step.estimate) ||
        !IsResource(step.needs.cpu_millis) ||
        !IsResource(step.needs.memory_mb) || !IsResource(step.needs.gpus) ||
        std::ranges::any_of(step.after,
                            [n](size_t earlier) { return earlier >= n; })) {
      return false;
    }
  }
  return tasks > 0 && tasks <= kMaxTasks && !job.id.empty() &&
         job.id.size() <= kMaxJobIdBytes && job.max_attempts > 0 &&
         IsTime(job.expected) && IsTime(job.age) && IsTime(job.time_limit) &&
         job.target >= -kMaxTime && job.target <= kMaxTime &&
         FitsIntoOffers(job) && job.first_run <= kMaxRunNumber;
}

bool FitsIntoHandover(const JobRequest& job) {
  // Encoding a job with hundreds of thousands of dependencies would take
  // milliseconds; each takes a byte or more.
  size_t dependencies = 0;
  for (const JobStep& step : job.steps) {
    dependencies += step.after.size();
  }
  return dependencies <= kMaxJobBytes && wire::EncodedSize(job) <= kMaxJobBytes;
}

}  // namespace

EntryLoad DirectEntry::Impl::Load(Instant now) const {
  EntryLoad load;
  load.means = settings_.means;
  load.pressure_percent =
      static_cast<uint8_t>(std::clamp(kept_share_.pressure(), 0.0, 1.0) * 100);
  load.waiting_jobs = static_cast<uint16_t>(std::min<size_t>(
      wait_queue_.size(), std::numeric_limits<uint16_t>::max()));
  load.accepts = !is_stopping_ && settings_.handover.lease > Duration(0) &&
                 kept_share_.pressure() < policy::kMaxTargetPressure &&
                 std::ranges::any_of(sidecars_ | std::views::values,
                                     [&](const SidecarView& view) {
                                       return IsUsable(now, view);
                                     });
  return load;
}

bool DirectEntry::Impl::MayHandOver(const JobRequest& spec) const {
  return load_sharing_ && !spec.was_handed_over && !IsHandedIn(spec.request) &&
         spec.time_limit >= kMinTimeLeft && FitsIntoHandover(spec);
}

InstanceName DirectEntry::Impl::ChooseTarget(Instant now,
                                             const InstanceName& excluded) {
  const auto all = handover_.Candidates(now, settings_.zone);
  std::vector<policy::HandoverCandidate> candidates;
  for (const auto& [name, candidate] : all) {
    candidates.push_back(candidate);
    candidates.back().accepts &= name != excluded;
  }
  Hasher hasher;
  hasher.Add(self_.name.value());
  hasher.Add(self_.incarnation);
  hasher.Add(++target_choices_);
  const auto chosen = policy::ChooseHandoverTarget(candidates, hasher.digest());
  return chosen ? all[*chosen].first : InstanceName();
}

bool DirectEntry::Impl::TryHandOver(Instant now,
                                    WallTime wall,
                                    const JobRequest& spec) {
  // The request was read late, and so will be the result. A target drops the
  // jobs of an origin that answers later than the lease.
  const Duration delay = 2 * overload_.PresentDelay(now);
  if (!MayHandOver(spec) || delay >= settings_.handover.lease ||
      spec.expected + delay > spec.target) {
    return false;
  }
  // A job that would be late here is handed over whatever the share kept.
  if (!kept_share_.ShouldHandOver() && !IsTooLateFor(now, spec)) {
    return false;
  }
  Relay relay;
  relay.target = ChooseTarget(now, {});
  if (relay.target.empty()) {
    return false;
  }
  relay.job = spec;
  relay.job.first_run =
      std::max(spec.first_run, FirstRunNumberOf(wall, spec.id));
  relay.requests = {spec.request};
  relay.arrived = now;
  relay.deadline = now + spec.time_limit;
  kept_share_.OnHandedOver();
  SendRelay(now, std::move(relay), "new");
  return true;
}

void DirectEntry::Impl::HandOverWaitingJobs(Instant now) {
  if (!load_sharing_ || !kept_share_.IsCalledFor() ||
      now < next_waiting_handover_ || wait_queue_.empty()) {
    return;
  }
  next_waiting_handover_ = now + kWaitingHandoverInterval;
  size_t n = 0;
  for (const uint64_t number : wait_queue_.InPlacementOrder()) {
    DirectJob& job = *jobs_.Find(number);
    const bool was_offered =
        std::ranges::any_of(job.tasks, [](const JobTask& task) {
          return task.phase == TaskPhase::kPlaced || task.run != 0;
        });
    if (was_offered || !MayHandOver(job.spec) ||
        job.deadline - now < kMinTimeLeft ||
        std::ranges::any_of(job.duplicate_requests, IsHandedIn)) {
      continue;
    }
    Relay relay;
    relay.target = ChooseTarget(now, {});
    if (relay.target.empty()) {
      return;
    }
    relay.job = job.spec;
    relay.job.first_run = job.next_run_number;
    relay.requests = job.duplicate_requests;
    relay.requests.insert(relay.requests.begin(), job.spec.request);
    relay.arrived = job.arrived;
    relay.deadline = job.deadline;
    StopAndRemove(now, job);
    SendRelay(now, std::move(relay), "waiting");
    if (++n >= kMaxWaitingHandovers) {
      return;
    }
  }
}

void DirectEntry::Impl::SendRelay(Instant now,
                                  Relay relay,
                                  std::string_view stage) {
  relay.configuration = control_.version;
  effects_.emplace_back(
      LogLine("job_handed_over")
          .Add("job", relay.job.id)
          .Add("entry", relay.target.value())
          .Add("cause", "entry_overloaded")
          .Add("stage", stage)
          .Add("pressure_percent",
               static_cast<int64_t>(kept_share_.pressure() * 100))
          .Add("kept_percent", static_cast<int64_t>(kept_share_.share() * 100))
          .Add("waited_us", (now - relay.arrived).count())
          .Add("time_limit_us", relay.job.time_limit.count()));
  effects_.emplace_back(CountEffect{EntryEvent::kJobHandedOver});
  handover_.HandOver(now, std::move(relay));
}

void DirectEntry::Impl::SendAnswers(Instant now,
                                    std::span<const uint64_t> requests,
                                    AnswerJobEffect answer,
                                    uint64_t next_run) {
  for (const uint64_t request : requests) {
    if (!IsHandedIn(request)) {
      answer.request = request;
      effects_.emplace_back(answer);
      continue;
    }
    HandoverResult result;
    result.end = HandoverEnd::kAnswered;
    result.outcome = answer.outcome;
    result.cause = answer.cause;
    result.retry_after = static_cast<uint32_t>(answer.retry_after.count());
    result.next_run = next_run;
    handover_.End(now, request, std::move(result));
  }
}

std::string_view DirectEntry::Impl::DeclineCause(
    Instant now,
    const JobOfferedEvent& event) const {
  const JobRequest& job = event.handed.job;
  if (settings_.handover.lease <= Duration(0)) {
    return "disabled";
  }
  if (!IsRunnable(job)) {
    return "invalid";
  }
  const InstanceName relayed_to = handover_.TargetOf(job.id);
  if (relayed_to == event.from.name) {
    // That entry no longer has the job. Its answer to this one is on the way.
    return "returned";
  }
  if (!relayed_to.empty() || jobs_.HasId(job.id)) {
    return "";  // Attaches to the job that exists.
  }
  if (is_stopping_) {
    return "stopping";
  }
  if (kept_share_.pressure() >= policy::kMaxTargetPressure) {
    return "overloaded";
  }
  if (event.handed.configuration != control_.version) {
    return "other_configuration";
  }
  if (wait_queue_.size() >= settings_.max_waiting_jobs) {
    return "line_full";
  }
  const bool is_usable = std::ranges::any_of(
      sidecars_ | std::views::values, [&](const SidecarView& view) {
        return view.upstream.service == job.service && IsUsable(now, view);
      });
  return is_usable ? "" : "no_upstream";
}

void DirectEntry::Impl::HandleHandoverEvents(Instant now,
                                             WallTime wall,
                                             HandoverEvents events) {
  for (HandoverEvent& event : events) {
    std::visit([&](auto& it) { this->HandleHandoverEvent(now, wall, it); },
               event);
  }
}

void DirectEntry::Impl::HandleHandoverEvent(Instant now,
                                            WallTime wall,
                                            JobOfferedEvent& event) {
  if (const std::string_view cause = DeclineCause(now, event); !cause.empty()) {
    handover_.Decline(now, event.request, cause);
    return;
  }
  JobRequest job = std::move(event.handed.job);
  effects_.emplace_back(LogLine("job_taken_over")
                            .Add("job", job.id)
                            .Add("entry", event.from.name.value())
                            .Add("age_us", job.age.count())
                            .Add("time_limit_us", job.time_limit.count()));
  effects_.emplace_back(CountEffect{EntryEvent::kJobTakenOver});
  handover_.Accept(now, event.request);
  job.request = event.request;
  job.was_handed_over = true;
  OnJob(now, wall, std::move(job));
}

void DirectEntry::Impl::HandleHandoverEvent(Instant now,
                                            WallTime,
                                            HolderGoneEvent& event) {
  RequestRemoval removal;
  if (!RemoveRelayRequest(event.request)) {
    removal = RemoveRequest(now, event.request);
  }
  if (!removal.job.empty()) {
    effects_.emplace_back(
        LogLine("handover_lost")
            .Add("job", removal.job)
            .Add("entry", event.origin.name.value())
            .Add("cause", event.cause)
            .Add("may_have_run", removal.end == HandoverEnd::kNotRun ? 0 : 1));
  }
  HandoverResult result;
  result.end = removal.end;
  result.cause = event.cause;
  result.next_run = removal.next_run;
  handover_.End(now, event.request, std::move(result));
}

void DirectEntry::Impl::HandleHandoverEvent(Instant now,
                                            WallTime,
                                            RelayAnsweredEvent& event) {
  HandoverResult result = std::move(event.result);
  if (event.was_lost) {
    effects_.emplace_back(LogLine("handover_lost")
                              .Add("job", event.relay.job.id)
                              .Add("entry", event.relay.target.value())
                              .Add("cause", result.cause)
                              .Add("may_have_run", 1));
    result.outcome = JobOutcome::kTimedOut;
    result.cause = "handover_lost";
  }
  AnswerRelay(now, event.relay, result);
}

void DirectEntry::Impl::HandleHandoverEvent(Instant now,
                                            WallTime,
                                            RelayReturnedEvent& event) {
  Relay& relay = event.relay;
  effects_.emplace_back(
      LogLine(event.was_declined ? "handover_declined" : "handover_lost")
          .Add("job", relay.job.id)
          .Add("entry", relay.target.value())
          .Add("cause", event.cause)
          .Add("may_have_run", 0)
          .Add("age_us", (now - relay.arrived).count()));
  if (event.was_declined) {
    effects_.emplace_back(CountEffect{EntryEvent::kHandoverDeclined});
  }
  // One more entry is asked. After that the job runs here: each further one
  // would cost the caller another round trip.
  if (event.was_declined && relay.declines == 0 && load_sharing_ &&
      kept_share_.IsCalledFor() && relay.deadline - now >= kMinTimeLeft) {
    if (InstanceName target = ChooseTarget(now, relay.target);
        !target.empty()) {
      relay.target = std::move(target);
      relay.declines = 1;
      relay.was_sent = false;
      SendRelay(now, std::move(relay), "declined");
      return;
    }
  }
  JobRequest job = RemainingJob(now, relay);
  job.was_handed_over = true;
  for (const uint64_t request : relay.requests) {
    job.request = request;
    OnJob(now, {}, job);
  }
}

void DirectEntry::Impl::AnswerRelay(Instant now,
                                    const Relay& relay,
                                    const HandoverResult& result) {
  AnswerJobEffect answer;
  answer.outcome = result.outcome;
  answer.cause = result.cause;
  answer.age = now - relay.arrived + relay.job.age;
  answer.retry_after = std::chrono::seconds(result.retry_after);
  if (result.outcome == JobOutcome::kRefused && result.retry_after == 0) {
    answer.retry_after = retry_after_.Refuse(now, relay.job.id);
  }
  effects_.emplace_back(LogLine(fmt::format("job_{}", ToString(answer.outcome)))
                            .Add("job", relay.job.id)
                            .Add("cause", answer.cause)
                            .Add("entry", relay.target.value())
                            .Add("age_us", answer.age.count())
                            .Add("target_us", relay.job.target.count())
                            .Add("retry_after_s", answer.retry_after.count()));
  SendAnswers(now, relay.requests, answer,
              std::max(relay.job.first_run, result.next_run));
}

bool DirectEntry::Impl::RemoveRelayRequest(uint64_t request) {
  std::string withdrawn;
  if (!handover_.RemoveRequest(request, withdrawn)) {
    return false;
  }
  if (!withdrawn.empty()) {
    effects_.emplace_back(LogLine("caller_gone").Add("job", withdrawn));
  }
  return true;
}

bool DirectEntry::Impl::CancelRelay(Instant now, std::string_view id) {
  const auto relay = handover_.Cancel(id);
  if (!relay) {
    return false;
  }
  HandoverResult result;
  result.outcome = relay->was_sent ? JobOutcome::kFailed : JobOutcome::kRefused;
  result.cause = "cancelled";
  AnswerRelay(now, *relay, result);
  return true;
}

void DirectEntry::Impl::SendHandoverMessages(Instant now) {
  if (!handover_.HasMessages(now)) {
    return;
  }
  for (auto& [name, message] : handover_.ComposeMessages(now, Load(now))) {
    effects_.emplace_back(SendToPeerEffect{name, std::move(message)});
  }
}

}  // namespace filbertwick::core::direct

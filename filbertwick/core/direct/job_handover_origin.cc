#include <algorithm>
#include <ranges>

#include "filbertwick/core/direct/job_handover.h"

namespace filbertwick::core::direct {
namespace {

/// Longest delay of an acknowledgement, in which a later message often takes it
/// along; shorter than the interval at which ends are sent again.
constexpr Duration kAcknowledgeDelay = std::chrono::milliseconds(20);
/// After a pause of this process, the time until it has read the messages that
/// arrived meanwhile.
constexpr Duration kCatchUpTime = std::chrono::milliseconds(100);

}  // namespace

JobRequest RemainingJob(Instant now, const Relay& relay) {
  JobRequest job = relay.job;
  const Duration spent = now - relay.arrived;
  job.target -= spent;
  job.time_limit -= spent;
  job.age += spent;
  return job;
}

void JobHandover::HandOver(Instant now, Relay relay) {
  Neighbour& neighbour = neighbours_.at(relay.target);
  relay.number = neighbour.next_number++;
  relay.handed_at = now;
  relay.resend = policy::ResendTimer(now);
  const RelayKey key = {relay.target, relay.number};
  by_job_[relay.job.id] = key;
  for (const uint64_t request : relay.requests) {
    by_request_[request] = key;
  }
  deadlines_.emplace(relay.deadline, key);
  ++neighbour.handed_since_load;
  neighbour.unaccepted.insert(relay.number);
  neighbour.relays.emplace(relay.number, std::move(relay));
}

bool JobHandover::Attach(std::string_view job, uint64_t request) {
  const auto it = by_job_.find(std::string(job));
  if (it == by_job_.end()) {
    return false;
  }
  const auto& [target, number] = it->second;
  neighbours_.at(target).relays.at(number).requests.push_back(request);
  by_request_[request] = it->second;
  return true;
}

InstanceName JobHandover::TargetOf(std::string_view job) const {
  const auto it = by_job_.find(std::string(job));
  return it == by_job_.end() ? InstanceName() : it->second.first;
}

bool JobHandover::RemoveRequest(uint64_t request, std::string& withdrawn) {
  const auto it = by_request_.find(request);
  if (it == by_request_.end()) {
    return false;
  }
  const auto [target, number] = it->second;
  by_request_.erase(it);
  Neighbour& neighbour = neighbours_.at(target);
  Relay& relay = neighbour.relays.at(number);
  std::erase(relay.requests, request);
  if (relay.requests.empty()) {
    withdrawn = relay.job.id;
    Withdraw(neighbour, number);
  }
  return true;
}

std::optional<Relay> JobHandover::Cancel(std::string_view job) {
  const auto it = by_job_.find(std::string(job));
  if (it == by_job_.end()) {
    return std::nullopt;
  }
  const auto [target, number] = it->second;
  return Withdraw(neighbours_.at(target), number);
}

Relay JobHandover::TakeRelay(Neighbour& neighbour, uint64_t number) {
  const auto it = neighbour.relays.find(number);
  Relay relay = std::move(it->second);
  neighbour.relays.erase(it);
  neighbour.unaccepted.erase(number);
  if (neighbour.withdrawn.erase(number) > 0) {
    return relay;
  }
  by_job_.erase(relay.job.id);
  for (const uint64_t request : relay.requests) {
    by_request_.erase(request);
  }
  deadlines_.erase({relay.deadline, {relay.target, number}});
  return relay;
}

Relay JobHandover::Withdraw(Neighbour& neighbour, uint64_t number) {
  Relay relay = TakeRelay(neighbour, number);
  if (relay.was_sent) {
    Relay rest;
    rest.target = relay.target;
    rest.number = number;
    rest.handed_at = relay.handed_at;
    rest.was_sent = true;
    neighbour.relays.emplace(number, std::move(rest));
    neighbour.withdrawn.insert(number);
    neighbour.send_due = true;
    neighbour.wants_reply = true;
  }
  return relay;
}

void JobHandover::LoseTarget(Neighbour& neighbour,
                             std::string_view cause,
                             HandoverEvents& events) {
  while (!neighbour.relays.empty()) {
    const uint64_t number = neighbour.relays.begin()->first;
    Relay relay = TakeRelay(neighbour, number);
    if (relay.requests.empty()) {
      continue;
    }
    if (!relay.was_sent) {
      events.emplace_back(
          RelayReturnedEvent{std::move(relay), std::string(cause)});
      continue;
    }
    HandoverResult result;
    result.cause = cause;
    events.emplace_back(
        RelayAnsweredEvent{std::move(relay), std::move(result), true});
  }
}

Instant JobHandover::LossTime(const Neighbour& neighbour) const {
  // The newest reading that this entry can have echoed arrived at `heard_at`.
  // The lease of the target has expired a lease after that, and its runs have
  // ended within the orphan bound.
  const Instant alive =
      std::max(neighbour.heard_at, neighbour.relays.begin()->second.handed_at);
  return std::max(alive + times_.lease + orphan_bound_, resumed_until_);
}

void JobHandover::HandleFromTarget(Instant now,
                                   const HandoverMessage& message,
                                   Neighbour& neighbour,
                                   HandoverEvents& events) {
  for (const uint64_t number : message.accepted) {
    neighbour.unaccepted.erase(number);
  }
  for (const HandoverResult& result : message.results) {
    neighbour.acknowledged.push_back(result.number);
    neighbour.send_by = std::min(neighbour.send_by, now + kAcknowledgeDelay);
    if (!neighbour.relays.contains(result.number)) {
      continue;
    }
    Relay relay = TakeRelay(neighbour, result.number);
    if (relay.requests.empty()) {
      continue;  // The withdrawal is confirmed.
    }
    relay.job.first_run = std::max(relay.job.first_run, result.next_run);
    if (result.end == HandoverEnd::kDeclined ||
        result.end == HandoverEnd::kNotRun) {
      events.emplace_back(
          RelayReturnedEvent{std::move(relay), result.cause,
                             result.end == HandoverEnd::kDeclined});
    } else {
      events.emplace_back(RelayAnsweredEvent{
          std::move(relay), result, result.end != HandoverEnd::kAnswered});
    }
  }
}

HandoverEvents JobHandover::OnWakeup(Instant now) {
  HandoverEvents events;
  if (last_wakeup_ != Instant::max() && now - last_wakeup_ > times_.lease) {
    resumed_until_ = now + kCatchUpTime;
  }
  last_wakeup_ = now;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const auto [target, number] = deadlines_.begin()->second;
    Relay relay = Withdraw(neighbours_.at(target), number);
    HandoverResult result;
    result.end = HandoverEnd::kAnswered;
    result.outcome =
        relay.was_sent ? JobOutcome::kTimedOut : JobOutcome::kRefused;
    result.cause = "time_limit";
    events.emplace_back(
        RelayAnsweredEvent{std::move(relay), std::move(result)});
  }
  for (Neighbour& neighbour : neighbours_ | std::views::values) {
    std::vector<uint64_t> unsent;
    std::ranges::copy_if(
        neighbour.unaccepted, std::back_inserter(unsent), [&](uint64_t number) {
          const Relay& relay = neighbour.relays.at(number);
          return !relay.was_sent && now >= relay.handed_at + kMaxUnsentTime;
        });
    for (const uint64_t number : unsent) {
      events.emplace_back(
          RelayReturnedEvent{TakeRelay(neighbour, number), "target_silent"});
    }
    if (!neighbour.relays.empty() && now >= LossTime(neighbour)) {
      LoseTarget(neighbour, "target_silent", events);
    }
    CloseOldEnds(now, neighbour);
  }
  return events;
}

}  // namespace filbertwick::core::direct

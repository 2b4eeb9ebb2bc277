#include "filbertwick/core/direct/job_handover.h"

#include <algorithm>
#include <iterator>
#include <ranges>

#include "filbertwick/wire/archive.h"

namespace filbertwick::core::direct {
namespace {

/// Interval at which an unaccepted job or an unacknowledged end is sent again,
/// if a later message has arrived; longer than kAcceptDelay and a few round
/// trips.
constexpr Duration kResendInterval = std::chrono::milliseconds(40);
/// Interval of the questions for a clock reading without which no job can be
/// sent.
constexpr Duration kProbeInterval = std::chrono::milliseconds(20);
/// An entry whose incarnation others report differently is asked for it while
/// it was heard within this time.
constexpr Duration kSilence = std::chrono::seconds(1);
/// Time for the target's last answer to reach the origin before the caller's
/// time limit.
constexpr Duration kAnswerReserve = std::chrono::milliseconds(10);
/// Most messages to one entry at a time, and the pause after them while more is
/// waiting.
constexpr int kMaxMessagesAtOnce = 8;
constexpr Duration kBurstPause = std::chrono::milliseconds(2);
/// Pause before what the socket has not taken is sent again.
constexpr Duration kSocketRetryDelay = std::chrono::milliseconds(20);
/// Most jobs at one target that have not ended or whose withdrawal is not
/// confirmed. Every message contains all withdrawals, which must fit beside the
/// items that draw from its budget.
constexpr size_t kMaxRelaysPerTarget = 1024;
/// Maximum encoded size of a number in a message, in bytes.
constexpr size_t kMaxNumberBytes = 10;
static_assert(kMaxRelaysPerTarget * kMaxNumberBytes <= policy::kMaxFixedBytes);

/// Moves the first of `numbers` to a message, as many as fit. Returns true when
/// some are left.
bool TakeNumbers(policy::MessageBudget& budget,
                 std::vector<uint64_t>& numbers,
                 std::vector<uint64_t>& taken) {
  const auto end = std::ranges::find_if(numbers, [&](uint64_t number) {
    return !budget.Take(wire::EncodedSize(number));
  });
  taken.assign(numbers.begin(), end);
  numbers.erase(numbers.begin(), end);
  return !numbers.empty();
}

}  // namespace

void JobHandover::OnEntryLoad(Instant now,
                              const Peer& entry,
                              const ZoneName& zone,
                              const EntryLoad& load) {
  if (entry.name == self_.name) {
    return;
  }
  Neighbour& neighbour = neighbours_[entry.name];
  if (neighbour.peer.incarnation != entry.incarnation) {
    const bool is_in_use =
        !neighbour.relays.empty() || !neighbour.handed_in.empty();
    if (is_in_use || neighbour.heard_at > now - kSilence) {
      // The report may be a delayed one of an earlier incarnation. The entry's
      // reply shows which one runs.
      neighbour.send_by = now;
      neighbour.wants_reply = true;
      return;
    }
    HandoverEvents none;
    BeginIncarnation(neighbour, entry, none);
  }
  neighbour.zone = zone;
  neighbour.load = load;
  neighbour.load_at = now;
  neighbour.handed_since_load = 0;
}

std::vector<std::pair<InstanceName, policy::HandoverCandidate>>
JobHandover::Candidates(Instant now, const ZoneName& own_zone) const {
  std::vector<std::pair<InstanceName, policy::HandoverCandidate>> all;
  if (times_.lease <= Duration(0)) {
    return all;
  }
  for (const auto& [name, neighbour] : neighbours_) {
    if (neighbour.load_at == Instant::min()) {
      continue;
    }
    // A target that does not answer gets no more jobs.
    const bool is_silent =
        !neighbour.relays.empty() && neighbour.heard_at < now - times_.lease &&
        neighbour.relays.begin()->second.handed_at < now - kProbeInterval;
    all.push_back({name,
                   {neighbour.zone.value(), neighbour.zone == own_zone,
                    neighbour.round_trip, neighbour.load.means.processor_millis,
                    neighbour.load.pressure_percent / 100.0,
                    now - neighbour.load_at, neighbour.handed_since_load,
                    neighbour.load.accepts && !is_silent &&
                        neighbour.relays.size() < kMaxRelaysPerTarget}});
  }
  return all;
}

void JobHandover::BeginIncarnation(Neighbour& neighbour,
                                   const Peer& peer,
                                   HandoverEvents& events) {
  LoseTarget(neighbour, "target_restarted", events);
  DropOpenJobs(neighbour, "origin_restarted", events);
  neighbour.peer = peer;
  neighbour.clock = 0;
  neighbour.heard_at = Instant::min();
  neighbour.echoed = Instant::min();
  neighbour.asked_at = Instant::min();
  neighbour.load.accepts = false;
  neighbour.acknowledged.clear();
  neighbour.first_open = 0;
  neighbour.handed_in.clear();
  neighbour.open.clear();
  neighbour.ended.clear();
  neighbour.accepted.clear();
}

void JobHandover::Reply(const HandoverMessage& message, Instant now) {
  HandoverMessage reply;
  reply.from = self_;
  reply.to_incarnation = message.from.incarnation;
  reply.clock = ToMicros(now);
  reply.echoed_clock = message.clock;
  replies_.emplace_back(message.from.name, std::move(reply));
}

HandoverEvents JobHandover::OnMessage(Instant now,
                                      const HandoverMessage& message) {
  HandoverEvents events;
  const Instant echo = FromMicros(message.echoed_clock);
  if (message.from.name == self_.name || message.from.incarnation == 0 ||
      message.clock <= 0 || message.echoed_clock < 0 || echo > now) {
    return events;
  }
  const bool is_for_this = message.to_incarnation == self_.incarnation;
  Neighbour& neighbour = neighbours_[message.from.name];
  if (neighbour.peer.incarnation != message.from.incarnation) {
    // As with sidecars, the order of incarnations does not tell which one is
    // later. The later one echoes a reading from after the present one was
    // last heard.
    const bool is_first = neighbour.peer.incarnation == 0;
    if (!is_first && (!is_for_this || message.echoed_clock == 0 ||
                      echo <= neighbour.heard_at)) {
      if (message.wants_reply) {
        Reply(message, now);
      }
      return events;
    }
    BeginIncarnation(neighbour, message.from, events);
  }
  if (!is_for_this) {
    if (message.wants_reply) {
      Reply(message, now);
    }
    return events;
  }
  RecordClocks(now, message, neighbour);
  HandleFromTarget(now, message, neighbour, events);
  HandleFromOrigin(now, message, neighbour, events);
  neighbour.send_due |= message.wants_reply;
  return events;
}

void JobHandover::RecordClocks(Instant now,
                               const HandoverMessage& message,
                               Neighbour& neighbour) {
  if (message.echoed_clock != 0) {
    const Instant echo = FromMicros(message.echoed_clock);
    neighbour.echoed = std::max(neighbour.echoed, echo);
    const Duration trip = std::max(now - echo, Duration(1));
    neighbour.round_trip = neighbour.round_trip == Duration(0)
                               ? trip
                               : std::min(neighbour.round_trip, trip);
  }
  if (message.clock > neighbour.clock) {
    neighbour.clock = message.clock;
    neighbour.heard_at = now;
    neighbour.load = message.load;
    neighbour.load_at = now;
    neighbour.handed_since_load = 0;
  }
  for (const uint64_t number : neighbour.unaccepted) {
    neighbour.relays.at(number).resend.Answered(now, neighbour.echoed);
  }
  for (const uint64_t number : neighbour.ended) {
    neighbour.handed_in.at(number).resend.Answered(now, neighbour.echoed);
  }
}

Instant JobHandover::NextQuestion(const Neighbour& neighbour) const {
  Instant next = Instant::max();
  const auto ask_after = [&next](Instant quiet_until, Instant next_question) {
    next = std::min(next, std::max(quiet_until, next_question));
  };
  if (!neighbour.relays.empty()) {
    // The target asks at the interval of the keep-alives itself, for its lease.
    ask_after(neighbour.heard_at + times_.keep_alive * 3 / 2,
              neighbour.asked_at + times_.keep_alive);
  }
  const bool has_unsent = std::ranges::any_of(
      neighbour.unaccepted,
      [&](uint64_t number) { return !neighbour.relays.at(number).was_sent; });
  if (has_unsent) {
    ask_after(neighbour.heard_at + times_.lease / 2 + Duration(1),
              neighbour.asked_at + kProbeInterval);
  }
  if (!neighbour.open.empty()) {
    ask_after(neighbour.echoed + times_.keep_alive,
              neighbour.asked_at + times_.keep_alive / 2);
  } else if (!neighbour.ended.empty()) {
    ask_after(neighbour.echoed + times_.keep_alive,
              neighbour.asked_at + times_.keep_alive * 2);
  }
  return next;
}

bool JobHandover::IsMessageDue(Instant now, const Neighbour& neighbour) const {
  if (neighbour.peer.incarnation == 0) {
    return false;
  }
  const bool is_fresh = IsClockFresh(now, neighbour);
  const auto is_job_due = [&](uint64_t number) {
    const Relay& relay = neighbour.relays.at(number);
    return (is_fresh || relay.was_sent) && now >= relay.resend.due();
  };
  const auto is_end_due = [&](uint64_t number) {
    return now >= neighbour.handed_in.at(number).resend.due();
  };
  return neighbour.send_due || now >= neighbour.send_by ||
         now >= NextQuestion(neighbour) ||
         std::ranges::any_of(neighbour.unaccepted, is_job_due) ||
         std::ranges::any_of(neighbour.ended, is_end_due);
}

bool JobHandover::HasMessages(Instant now) const {
  return !replies_.empty() ||
         std::ranges::any_of(neighbours_ | std::views::values,
                             [&](const Neighbour& neighbour) {
                               return IsMessageDue(now, neighbour);
                             });
}

bool JobHandover::AddJobs(Instant now,
                          Neighbour& neighbour,
                          policy::MessageBudget& budget,
                          HandoverMessage& message) {
  const bool is_fresh = IsClockFresh(now, neighbour);
  for (const uint64_t number : neighbour.unaccepted) {
    Relay& relay = neighbour.relays.at(number);
    using Action = policy::ResendTimer::Action;
    const Action action = relay.resend.ActionAt(now, neighbour.echoed);
    if (action == Action::kProbe ||
        (action == Action::kSend && !is_fresh && relay.was_sent)) {
      relay.resend.Probed();
      message.wants_reply = true;
      continue;
    }
    if (action != Action::kSend || !is_fresh) {
      continue;
    }
    HandedJob handed = {number, relay.configuration, RemainingJob(now, relay)};
    handed.job.time_limit -= kAnswerReserve;
    if (!budget.Take(wire::EncodedSize(handed))) {
      return true;
    }
    message.handovers.push_back(std::move(handed));
    relay.was_sent = true;
    relay.resend.Sent(now, kResendInterval);
  }
  return false;
}

bool JobHandover::AddResults(Instant now,
                             Neighbour& neighbour,
                             policy::MessageBudget& budget,
                             HandoverMessage& message) {
  for (const uint64_t number : neighbour.ended) {
    HandedIn& job = neighbour.handed_in.at(number);
    using Action = policy::ResendTimer::Action;
    const Action action = job.resend.ActionAt(now, neighbour.echoed);
    if (action == Action::kProbe) {
      job.resend.Probed();
      message.wants_reply = true;
    } else if (action == Action::kSend) {
      if (!budget.Take(wire::EncodedSize(job.result))) {
        return true;
      }
      message.results.push_back(job.result);
      job.resend.Sent(now, kResendInterval);
    }
  }
  return false;
}

HandoverMessage JobHandover::Compose(Instant now, Neighbour& neighbour) {
  HandoverMessage message;
  message.from = self_;
  message.to_incarnation = neighbour.peer.incarnation;
  message.clock = ToMicros(now);
  message.echoed_clock = neighbour.clock;
  message.wants_reply = std::exchange(neighbour.wants_reply, false) ||
                        now >= NextQuestion(neighbour);
  message.first_open = neighbour.relays.empty()
                           ? neighbour.next_number
                           : neighbour.relays.begin()->first;
  message.withdrawals.assign(neighbour.withdrawn.begin(),
                             neighbour.withdrawn.end());
  neighbour.send_due = false;
  // What ends a job comes first.
  policy::MessageBudget budget(wire::EncodedSize(message));
  const bool has_more =
      TakeNumbers(budget, neighbour.acknowledged, message.acknowledged) ||
      AddResults(now, neighbour, budget, message) ||
      TakeNumbers(budget, neighbour.accepted, message.accepted) ||
      AddJobs(now, neighbour, budget, message);
  neighbour.send_by = has_more ? now : Instant::max();
  if (message.wants_reply) {
    neighbour.asked_at = now;
  }
  return message;
}

std::vector<std::pair<InstanceName, HandoverMessage>>
JobHandover::ComposeMessages(Instant now, const EntryLoad& load) {
  auto messages = std::exchange(replies_, {});
  for (auto& [name, neighbour] : neighbours_) {
    for (int n = 0; n < kMaxMessagesAtOnce && IsMessageDue(now, neighbour);
         ++n) {
      messages.emplace_back(name, Compose(now, neighbour));
    }
    if (neighbour.send_by <= now) {
      neighbour.send_by = now + kBurstPause;
    }
  }
  for (HandoverMessage& message : messages | std::views::values) {
    message.load = load;
  }
  return messages;
}

void JobHandover::OnNotSent(Instant now,
                            const InstanceName& to,
                            const HandoverMessage& message) {
  const auto it = neighbours_.find(to);
  if (it == neighbours_.end() ||
      it->second.peer.incarnation != message.to_incarnation) {
    return;
  }
  Neighbour& neighbour = it->second;
  const Instant retry = now + kSocketRetryDelay;
  std::ranges::copy(message.acknowledged,
                    std::back_inserter(neighbour.acknowledged));
  std::ranges::copy(message.accepted, std::back_inserter(neighbour.accepted));
  for (const HandoverResult& result : message.results) {
    const auto job = neighbour.handed_in.find(result.number);
    if (job != neighbour.handed_in.end()) {
      job->second.resend.NotSent(retry);
    }
  }
  for (const HandedJob& handed : message.handovers) {
    const auto relay = neighbour.relays.find(handed.number);
    if (relay != neighbour.relays.end()) {
      relay->second.resend.NotSent(retry);
    }
  }
  neighbour.wants_reply |= message.wants_reply;
  neighbour.send_by = std::min(neighbour.send_by, retry);
}

Instant JobHandover::NextWakeup() const {
  Instant next =
      deadlines_.empty() ? Instant::max() : deadlines_.begin()->first;
  const auto note_due = [&next](Instant due) { next = std::min(next, due); };
  for (const Neighbour& neighbour : neighbours_ | std::views::values) {
    if (neighbour.peer.incarnation == 0) {
      continue;
    }
    note_due(neighbour.send_by);
    note_due(NextQuestion(neighbour));
    for (const uint64_t number : neighbour.unaccepted) {
      const Relay& relay = neighbour.relays.at(number);
      if (!relay.was_sent) {
        note_due(relay.handed_at + kMaxUnsentTime);
      } else {
        note_due(relay.resend.due());
      }
    }
    for (const uint64_t number : neighbour.ended) {
      const HandedIn& job = neighbour.handed_in.at(number);
      note_due(job.resend.due());
      note_due(std::max(neighbour.echoed, job.ended_at) + kEndMemory);
    }
    if (!neighbour.open.empty()) {
      note_due(neighbour.echoed + times_.lease + Duration(1));
    }
    if (!neighbour.relays.empty()) {
      note_due(LossTime(neighbour));
    }
  }
  return next;
}

}  // namespace filbertwick::core::direct

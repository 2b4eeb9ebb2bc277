#include "filbertwick/core/sidecar/task_runner.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "filbertwick/base/hash.h"

namespace filbertwick::core {
namespace {

/// Time until an end that no owner confirmed is told again.
constexpr Duration kResendInterval = std::chrono::milliseconds(300);
/// Time between two looks at the offers that wait.
constexpr Duration kQueueCheckInterval = std::chrono::milliseconds(50);

}  // namespace

TaskRunner::TaskRunner(Member& member, Outbox& outbox)
    : member_(member), outbox_(outbox), ledger_(TaskLedgerSettings()) {}

uint32_t TaskRunner::FreeSlots() const {
  return slots_ > ledger_.running() ? slots_ - ledger_.running() : 0;
}

wire::Load TaskRunner::load() const {
  const bool out =
      member_.control().zones_out().contains(member_.settings().info.zone);
  wire::Load load;
  load.slots = upstream_leaving_ || stopping_ || out ? 0 : slots_;
  load.running = ledger_.running();
  load.queued = static_cast<uint32_t>(queue_.size());
  return load;
}

bool TaskRunner::idle() const {
  return ledger_.running() == 0 && queue_.size() == 0 &&
         !ledger_.HasUnacknowledged();
}

uint32_t TaskRunner::QueueBound(const ServiceName& service) const {
  const bundle::Bundle* bundle = member_.control().bundle();
  const bundle::Service* found =
      bundle == nullptr ? nullptr : bundle->FindService(service);
  return found == nullptr ? bundle::Service().queue : found->queue;
}

wire::RefusalCause TaskRunner::FindRefusalCause(
    Instant now,
    const wire::TaskOffer& offer) const {
  const NodeSettings& settings = member_.settings();
  const Duration age = now - FromMicros(offer.token);
  if (settings.rules.token_age &&
      (age > settings.timing.evidence_age || age < Duration(0))) {
    return wire::RefusalCause::kStaleToken;
  }
  if (settings.rules.epoch_check &&
      offer.epoch < member_.replica().EpochOf(offer.shard)) {
    return wire::RefusalCause::kOldEpoch;
  }
  if (member_.control().zones_out().contains(settings.info.zone)) {
    return wire::RefusalCause::kZoneOut;
  }
  if (stopping_) {
    return wire::RefusalCause::kStopping;
  }
  return slots_ == 0 || upstream_leaving_ ? wire::RefusalCause::kUpstreamGone
                                          : wire::RefusalCause::kNone;
}

void TaskRunner::OnOffers(Instant now,
                          const wire::Sender& from,
                          wire::Offers& offers,
                          Effects& effects) {
  // Tokens of an earlier incarnation mean nothing to this one.
  if (offers.incarnation != member_.settings().info.incarnation) {
    return;
  }
  for (wire::TaskOffer& offer : offers.offers) {
    OnOffer(now, from.name, offer, effects);
  }
}

void TaskRunner::OnOffer(Instant now,
                         const InstanceName& from,
                         wire::TaskOffer& offer,
                         Effects& effects) {
  if (HasDigestMismatch(offer)) {
    Refuse(now, from, offer.key, offer.attempt,
           wire::RefusalCause::kDigestMismatch);
    return;
  }
  if (AnswerFromLedger(from, offer)) {
    return;
  }
  if (queue_.Find(offer.key) != nullptr) {
    return;
  }
  member_.LearnEpoch(offer.shard, offer.epoch);
  wire::RefusalCause cause = FindRefusalCause(now, offer);
  if (cause == wire::RefusalCause::kNone &&
      queue_.IsWithdrawn(offer.key, offer.attempt)) {
    cause = wire::RefusalCause::kWithdrawn;
  }
  const bool starts = FreeSlots() > 0 && queue_.size() == 0;
  if (cause == wire::RefusalCause::kNone && !starts &&
      queue_.size() >= QueueBound(offer.service)) {
    cause = wire::RefusalCause::kFull;
  }
  if (cause != wire::RefusalCause::kNone) {
    Refuse(now, from, offer.key, offer.attempt, cause);
    return;
  }
  if (starts) {
    StartTask(now, from, offer, effects);
    return;
  }
  wire::TaskUpdate update;
  update.key = offer.key;
  update.attempt = offer.attempt;
  update.state = wire::TaskState::kQueued;
  outbox_.AddUpdate(from, std::move(update));
  queue_.Push({from, std::move(offer)});
}

bool TaskRunner::AnswerFromLedger(const InstanceName& from,
                                  const wire::TaskOffer& offer) {
  const LedgerEntry* entry = ledger_.Find(offer.key);
  if (entry == nullptr) {
    return false;
  }
  const bool again =
      offer.repeat && entry->ended && offer.attempt > entry->attempt;
  if (again) {
    return false;
  }
  // It started here before: the owner hears of that start instead.
  wire::TaskUpdate update = MakeUpdate(*entry);
  update.attempt = std::max(update.attempt, offer.attempt);
  outbox_.AddUpdate(from, std::move(update));
  return true;
}

bool TaskRunner::HasDigestMismatch(const wire::TaskOffer& offer) {
  if (!member_.settings().rules.digest_check) {
    return false;
  }
  return std::ranges::any_of(
      ledger_.EntriesOf(offer.key.job),
      [&](const LedgerEntry* entry) { return entry->digest != offer.digest; });
}

void TaskRunner::StartTask(Instant now,
                           const InstanceName& owner,
                           wire::TaskOffer& offer,
                           Effects& effects) {
  // The key is noted first: from here on the task counts as started.
  const LedgerEntry& entry = ledger_.Start(offer, owner, now);
  outbox_.AddUpdate(owner, MakeUpdate(entry));
  effects.push_back(
      StartExecutionEffect{offer.key, offer.attempt, std::move(offer.service),
                           offer.timeout, std::move(offer.payload)});
}

void TaskRunner::StartQueued(Instant now, Effects& effects) {
  while (FreeSlots() > 0) {
    std::optional<QueuedOffer> item = queue_.Pop();
    if (!item) {
      return;
    }
    const wire::RefusalCause cause = FindRefusalCause(now, item->offer);
    if (cause != wire::RefusalCause::kNone) {
      Refuse(now, item->owner, item->offer.key, item->offer.attempt, cause);
      continue;
    }
    StartTask(now, item->owner, item->offer, effects);
  }
}

void TaskRunner::Refuse(Instant now,
                        const InstanceName& owner,
                        const wire::TaskKey& key,
                        uint32_t attempt,
                        wire::RefusalCause cause) {
  // The word is definite: a late copy of the offer must not start any more.
  queue_.MarkWithdrawn(key, attempt,
                       now + 2 * member_.settings().timing.evidence_age);
  wire::TaskUpdate update;
  update.key = key;
  update.attempt = attempt;
  update.state = wire::TaskState::kRefused;
  update.cause = cause;
  outbox_.AddUpdate(owner, std::move(update));
}

void TaskRunner::RefuseInadmissible(Instant now) {
  const auto inadmissible = [&](const QueuedOffer& item) {
    return FindRefusalCause(now, item.offer) != wire::RefusalCause::kNone;
  };
  for (const QueuedOffer& item : queue_.ExtractIf(inadmissible)) {
    Refuse(now, item.owner, item.offer.key, item.offer.attempt,
           FindRefusalCause(now, item.offer));
  }
}

void TaskRunner::RefuseAllQueued(Instant now, wire::RefusalCause cause) {
  for (const QueuedOffer& item :
       queue_.ExtractIf([](const auto&) { return true; })) {
    Refuse(now, item.owner, item.offer.key, item.offer.attempt, cause);
  }
}

void TaskRunner::OnWithdraw(Instant now,
                            const wire::Sender& from,
                            const wire::Withdraw& withdraw,
                            Effects& effects) {
  for (const wire::TaskWithdrawal& task : withdraw.tasks) {
    const LedgerEntry* entry = ledger_.Find(task.key);
    if (entry != nullptr && entry->attempt >= task.attempt) {
      // It started: the owner hears how far it is.
      if (task.stop_running && !entry->ended) {
        effects.push_back(StopExecutionEffect{task.key, entry->attempt});
      }
      outbox_.AddUpdate(from.name, MakeUpdate(*entry));
      continue;
    }
    queue_.ExtractIf([&](const QueuedOffer& item) {
      return item.offer.key == task.key && item.offer.attempt <= task.attempt;
    });
    Refuse(now, from.name, task.key, task.attempt,
           wire::RefusalCause::kWithdrawn);
  }
}

void TaskRunner::OnAcknowledge(const wire::Acknowledge& acknowledge) {
  for (const wire::TaskKey& key : acknowledge.keys) {
    ledger_.Acknowledge(key);
  }
}

void TaskRunner::OnCensus(Instant now,
                          const wire::Sender& from,
                          const wire::CensusRequest& request,
                          Effects& effects) {
  member_.LearnEpoch(request.shard, request.epoch);
  if (request.epoch < member_.replica().EpochOf(request.shard)) {
    return;
  }
  // Offers of earlier owners may not start any more: give them back first.
  RefuseInadmissible(now);
  wire::CensusReply reply;
  reply.shard = request.shard;
  reply.epoch = request.epoch;
  reply.jobs = request.jobs;
  reply.uptime = now - member_.started_at();
  for (const JobId& job : request.jobs) {
    const std::vector<LedgerEntry*> entries = ledger_.EntriesOf(job);
    if (entries.empty()) {
      continue;
    }
    wire::CensusEntry known;
    known.job = job;
    known.digest = entries.front()->digest;
    for (LedgerEntry* entry : entries) {
      entry->owner = from.name;
      known.tasks.push_back(MakeUpdate(*entry));
    }
    reply.known.push_back(std::move(known));
  }
  effects.push_back(SendEffect{from.name, std::move(reply)});
}

void TaskRunner::OnRenewal(const InstanceName& owner,
                           const wire::Probe& probe) {
  // Only when this sidecar knows all that the entry knows: else an epoch that
  // the entry lost might still count here.
  if (probe.renewal != 0 &&
      member_.control().offset() >= probe.summary.offset) {
    queue_.RenewTokens(owner, probe.renewal);
  }
}

void TaskRunner::OnUpstream(Instant now,
                            const UpstreamEvent& event,
                            Effects& effects) {
  slots_ = event.slots;
  upstream_leaving_ = event.leaving;
  if (slots_ == 0 || upstream_leaving_) {
    RefuseAllQueued(now, wire::RefusalCause::kUpstreamGone);
    return;
  }
  StartQueued(now, effects);
}

void TaskRunner::OnExecution(Instant now,
                             const ExecutionEndedEvent& event,
                             Effects& effects) {
  if (event.result.outcome == wire::TaskOutcome::kNotRun) {
    // The upstream refused it: the start is taken back.
    const LedgerEntry* entry = ledger_.Find(event.key);
    if (entry != nullptr && !entry->ended && entry->attempt == event.attempt) {
      Refuse(now, entry->owner, event.key, event.attempt,
             wire::RefusalCause::kUpstreamGone);
      ledger_.RevertStart(event.key);
    }
  } else {
    ledger_.End(event.key, event.attempt, event.result, now);
  }
  StartQueued(now, effects);
}

void TaskRunner::Stop(Instant now, Effects&) {
  stopping_ = true;
  RefuseAllQueued(now, wire::RefusalCause::kStopping);
}

void TaskRunner::Tick(Instant now, Effects& effects) {
  RefuseInadmissible(now);
  StartQueued(now, effects);
  queue_.Expire(now);
  for (const LedgerEntry* entry :
       ledger_.TakeUnacknowledged(now, now + kResendInterval)) {
    outbox_.AddUpdate(entry->owner, MakeUpdate(*entry));
  }
  const bundle::Bundle* bundle = member_.control().bundle();
  ledger_.Expire(now, bundle == nullptr ? bundle::Bundle().dedupe_window
                                        : bundle->dedupe_window);
}

Instant TaskRunner::NextWakeup(Instant now) const {
  const Instant next = ledger_.NextResend();
  return queue_.size() == 0 ? next : std::min(next, now + kQueueCheckInterval);
}

uint64_t TaskRunner::Hash() const {
  Hasher hasher;
  hasher.Add(ledger_.Hash());
  hasher.Add(queue_.size());
  hasher.Add(slots_);
  hasher.Add(upstream_leaving_);
  hasher.Add(stopping_);
  return hasher.digest();
}

}  // namespace filbertwick::core

#include "filbertwick/core/sidecar/task_runner.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "filbertwick/base/hash.h"

namespace filbertwick::core {
namespace {

/// Interval at which the unacknowledged end of a task is resent.
constexpr Duration kResendInterval = std::chrono::milliseconds(300);
/// Interval at which queued offers are checked.
constexpr Duration kQueueCheckInterval = std::chrono::milliseconds(50);

}  // namespace

TaskRunner::TaskRunner(Member& member, Outbox& outbox)
    : member_(member), outbox_(outbox), ledger_(TaskLedgerSettings()) {}

uint32_t TaskRunner::FreeSlots() const {
  return slots_ > ledger_.running() ? slots_ - ledger_.running() : 0;
}

wire::Load TaskRunner::load() const {
  const bool zone_is_out =
      member_.control().zones_out().contains(member_.settings().info.zone);
  wire::Load load;
  load.slots = upstream_leaving_ || stopping_ || zone_is_out ? 0 : slots_;
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
  // Clock tokens of another incarnation can't be compared with the present
  // clock.
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
  const bool starts_now = FreeSlots() > 0 && queue_.size() == 0;
  if (cause == wire::RefusalCause::kNone && !starts_now &&
      queue_.size() >= QueueBound(offer.service)) {
    cause = wire::RefusalCause::kFull;
  }
  if (cause != wire::RefusalCause::kNone) {
    Refuse(now, from, offer.key, offer.attempt, cause);
    return;
  }
  if (starts_now) {
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
  const bool may_rerun =
      offer.repeat && entry->ended && offer.attempt > entry->attempt;
  if (may_rerun) {
    return false;
  }
  // The task was started here before: report its state instead. The update
  // carries the offered attempt, so that the owner accepts it as the answer to
  // its offer.
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
  // The ledger entry comes before the effect: from here on the task counts as
  // started, whatever happens to the call of the upstream.
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
  // The refusal is final, so a delayed copy of the offer must not start the
  // task. After twice the evidence age the token of any such copy has expired.
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
      // The task was started, so the withdrawal is answered with its state.
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
  // Queued offers of former owners may no longer start under the new epoch.
  // They are refused first, so that none starts after the inventory is taken.
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
  // The renewal counts only if this sidecar has applied all records that the
  // entry has. Otherwise the entry may know that it lost an epoch while this
  // sidecar would still accept offers under it.
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
    // The upstream refused the task without running it, so the start is
    // reverted.
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

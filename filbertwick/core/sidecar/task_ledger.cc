#include "filbertwick/core/sidecar/task_ledger.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace filbertwick::core {

TaskLedger::TaskLedger(const TaskLedgerSettings& settings)
    : settings_(settings) {}

LedgerEntry& TaskLedger::Start(const wire::TaskOffer& offer,
                               const InstanceName& owner,
                               Instant now) {
  LedgerEntry& entry = entries_[offer.key];
  assert(entry.key.job.empty() || entry.ended);
  result_bytes_ -= entry.result.body.size();
  unacknowledged_.erase(offer.key);
  entry = {};
  entry.key = offer.key;
  entry.attempt = offer.attempt;
  entry.digest = offer.digest;
  entry.owner = owner;
  entry.started_at = now;
  ++running_;
  return entry;
}

LedgerEntry* TaskLedger::End(const wire::TaskKey& key,
                             uint32_t attempt,
                             const wire::TaskResult& result,
                             Instant now) {
  LedgerEntry* entry = Find(key);
  if (entry == nullptr || entry->ended || entry->attempt != attempt) {
    return nullptr;
  }
  entry->ended = true;
  entry->ended_at = now;
  entry->result = result;
  entry->resend_at = now;
  --running_;
  result_bytes_ += entry->result.body.size();
  ended_.push_back({now, key, attempt});
  unacknowledged_[key] = now;
  EvictBodies();
  return entry;
}

void TaskLedger::RevertStart(const wire::TaskKey& key) {
  const auto it = entries_.find(key);
  assert(it != entries_.end() && !it->second.ended);
  entries_.erase(it);
  --running_;
}

void TaskLedger::DropBody(LedgerEntry& entry) {
  result_bytes_ -= entry.result.body.size();
  entry.result.body.clear();
  entry.body_dropped = true;
  // Without its body a success can't complete its job any more.
  if (entry.result.outcome == wire::TaskOutcome::kSucceeded) {
    entry.result = {wire::TaskOutcome::kRan, "result no longer kept"};
    result_bytes_ += entry.result.body.size();
  }
}

void TaskLedger::EvictBodies() {
  while (result_bytes_ > settings_.max_result_bytes &&
         first_kept_body_ + 1 < ended_.size()) {
    const Ended& oldest = ended_[first_kept_body_++];
    LedgerEntry* entry = Find(oldest.key);
    if (entry != nullptr && entry->ended && !entry->body_dropped &&
        entry->attempt == oldest.attempt) {
      DropBody(*entry);
    }
  }
}

LedgerEntry* TaskLedger::Find(const wire::TaskKey& key) {
  const auto it = entries_.find(key);
  return it == entries_.end() ? nullptr : &it->second;
}

std::vector<LedgerEntry*> TaskLedger::EntriesOf(const JobId& job) {
  std::vector<LedgerEntry*> found;
  for (auto it = entries_.lower_bound({job, 0});
       it != entries_.end() && it->first.job == job; ++it) {
    found.push_back(&it->second);
  }
  return found;
}

std::vector<const LedgerEntry*> TaskLedger::TakeUnacknowledged(Instant now,
                                                               Instant next) {
  std::vector<const LedgerEntry*> due;
  for (auto& [key, resend_at] : unacknowledged_) {
    if (resend_at <= now) {
      resend_at = next;
      due.push_back(Find(key));
    }
  }
  return due;
}

Instant TaskLedger::NextResend() const {
  Instant next = Instant::max();
  for (const auto& [key, resend_at] : unacknowledged_) {
    next = std::min(next, resend_at);
  }
  return next;
}

void TaskLedger::Acknowledge(const wire::TaskKey& key) {
  const auto it = unacknowledged_.find(key);
  if (it != unacknowledged_.end()) {
    unacknowledged_.erase(it);
    Find(key)->acknowledged = true;
  }
}

void TaskLedger::Expire(Instant now, Duration window) {
  while (!ended_.empty() && ended_.front().at + window <= now) {
    const Ended& oldest = ended_.front();
    const auto it = entries_.find(oldest.key);
    if (it != entries_.end() && it->second.ended &&
        it->second.attempt == oldest.attempt) {
      result_bytes_ -= it->second.result.body.size();
      unacknowledged_.erase(oldest.key);
      entries_.erase(it);
    }
    ended_.pop_front();
    first_kept_body_ -= first_kept_body_ > 0 ? 1 : 0;
  }
}

uint64_t TaskLedger::Hash() const {
  Hasher hasher;
  for (const auto& [key, entry] : entries_) {
    hasher.Add(key.job.value());
    hasher.Add(key.index);
    hasher.Add(entry.attempt);
    hasher.Add(entry.ended);
    hasher.Add(entry.acknowledged);
    hasher.Add(static_cast<uint64_t>(entry.result.outcome));
  }
  return hasher.digest();
}

wire::TaskUpdate MakeUpdate(const LedgerEntry& entry) {
  wire::TaskUpdate update;
  update.key = entry.key;
  update.attempt = entry.attempt;
  update.state =
      entry.ended ? wire::TaskState::kEnded : wire::TaskState::kStarted;
  if (entry.ended) {
    update.result = entry.result;
    update.run_time = entry.ended_at - entry.started_at;
  }
  return update;
}

}  // namespace filbertwick::core

#include "filbertwick/core/state/ownership.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "filbertwick/base/hash.h"

namespace filbertwick::core {
namespace {

/// Time between two checks for owners that are gone.
constexpr Duration kTakeoverCheckInterval = std::chrono::milliseconds(50);

}  // namespace

Ownership::Ownership(Member& member, OwnershipHooks hooks)
    : member_(member), hooks_(std::move(hooks)) {}

void Ownership::Update(const Now& now) {
  const RegionState* region = member_.replica().region();
  if (region == nullptr || region->generation == 0) {
    return;
  }
  DropLostTerms();
  AdoptResetEpochs();
  if (takeover_enabled_ && now.monotonic >= next_takeover_check_) {
    next_takeover_check_ = now.monotonic + kTakeoverCheckInterval;
    TakeOver(now);
  }
  AdvanceFences(now);
}

void Ownership::DropLostTerms() {
  std::vector<wire::ShardId> lost;
  for (const auto& [shard, term] : terms_) {
    if (member_.replica().EpochOf(shard) != term.epoch) {
      lost.push_back(shard);
    }
  }
  for (const wire::ShardId shard : lost) {
    terms_.erase(shard);
    hooks_.lost(shard);
  }
}

void Ownership::AdoptResetEpochs() {
  const RegionState* region = member_.replica().region();
  // The epochs of a reset are adopted only once: a shard that was lost since
  // must not be owned again under the same epoch.
  if (adopted_reset_ == region->formed_offset) {
    return;
  }
  adopted_reset_ = region->formed_offset;
  const wire::InstanceInfo& self = member_.settings().info;
  const auto founder = region->founders.find(self.name);
  if (founder == region->founders.end() ||
      founder->second != self.incarnation) {
    return;
  }
  for (wire::ShardId shard = 0; shard < wire::kShardsPerRegion; ++shard) {
    const wire::Epoch& epoch = member_.replica().EpochOf(shard);
    const bool by_reset = epoch.generation == region->generation &&
                          epoch.number == 1 && epoch.owner == self.name;
    if (by_reset && !terms_.contains(shard)) {
      terms_[shard] = {.epoch = epoch,
                       .history_complete = epoch.generation == 1};
      member_.ProbeAllSoon();
    }
  }
}

Duration Ownership::FenceWait() const {
  const TimingSettings& timing = member_.settings().timing;
  if (!member_.settings().rules.fence_wait) {
    return Duration(0);
  }
  constexpr int64_t kMillion = 1'000'000;
  const Duration wait = 2 * timing.evidence_age;
  return wait + wait * timing.clock_rate_ppm / kMillion + Duration(1);
}

void Ownership::AdvanceFences(const Now& now) {
  std::vector<wire::ShardId> gained;
  for (auto& [shard, term] : terms_) {
    if (term.serving) {
      continue;
    }
    const Duration wait = term.handed_over ? Duration(0) : FenceWait();
    if (term.quorum_at && now.monotonic < *term.quorum_at + wait) {
      continue;
    }
    // The member sets may have changed since `quorum_at`, so a quorum of the
    // present ones must know the epoch too.
    if (!member_.QuorumKnowsEpoch({shard, term.epoch})) {
      continue;
    }
    if (!term.quorum_at) {
      term.quorum_at = now.monotonic;
    }
    if (now.monotonic < *term.quorum_at + wait) {
      continue;
    }
    term.serving = true;
    term.serving_since = now.monotonic;
    term.serving_since_wall = now.wall;
    gained.push_back(shard);
  }
  if (!gained.empty()) {
    hooks_.gained(gained);
  }
}

bool Ownership::IsTakeoverDue(Instant now,
                              wire::ShardId shard,
                              const wire::Epoch& epoch) {
  // The silence of the owner is counted from when its epoch was first seen
  // here, or from a later message of the owner.
  EpochSighting& seen = sightings_[shard];
  if (seen.epoch != epoch) {
    seen = {epoch, now};
  }
  const wire::InstanceInfo& self = member_.settings().info;
  const TimingSettings& timing = member_.settings().timing;
  if (epoch.owner == self.name) {
    // Either an earlier incarnation of this entry took the shard, or the shard
    // was handed over to this incarnation and the Handover message may still
    // arrive.
    return !terms_.contains(shard) &&
           now - seen.at >= 2 * timing.probe_interval;
  }
  // Fast path: most owners are alive, and no successor order is needed for
  // them.
  const PeerView* view = member_.FindView(epoch.owner);
  if (view != nullptr && view->replaced_at <= seen.at &&
      now - view->heard_at < timing.takeover_silence) {
    return false;
  }
  const std::vector<InstanceName> successors =
      member_.control().Successors(self.region, shard, epoch.owner);
  const auto it = std::ranges::find(successors, self.name);
  if (it == successors.end()) {
    return false;
  }
  const Duration stagger = timing.takeover_stagger * (it - successors.begin());
  Instant silent_since = std::max(seen.at, member_.resumed_at());
  if (view == nullptr) {
    return now - silent_since >= timing.probe_interval + stagger;
  }
  if (view->replaced_at > seen.at) {
    return now - view->replaced_at >= stagger;
  }
  silent_since = std::max(silent_since, view->heard_at);
  return now - silent_since >= timing.takeover_silence + stagger;
}

void Ownership::TakeOver(const Now& now) {
  // Without quorum evidence this instance may reach only a minority, and a
  // takeover could not complete.
  if (!member_.is_voter() || !member_.HasQuorumEvidence(now.monotonic)) {
    return;
  }
  const InstanceName& self = member_.settings().info.name;
  std::vector<wire::ShardEpoch> taken;
  for (wire::ShardId shard = 0; shard < wire::kShardsPerRegion; ++shard) {
    const wire::Epoch& epoch = member_.replica().EpochOf(shard);
    if (terms_.contains(shard) || !IsTakeoverDue(now.monotonic, shard, epoch)) {
      continue;
    }
    const wire::Epoch next = {epoch.generation, epoch.number + 1, 0, self};
    terms_[shard] = {.epoch = next};
    member_.RaiseEpoch(shard, next);
    taken.push_back({shard, next});
  }
  if (!taken.empty()) {
    hooks_.taken(taken);
  }
}

bool Ownership::Serves(wire::ShardId shard) const {
  const ShardTerm* term = FindTerm(shard);
  return term != nullptr && term->serving &&
         member_.replica().EpochOf(shard) == term->epoch;
}

bool Ownership::Holds(wire::ShardId shard) const {
  const ShardTerm* term = FindTerm(shard);
  return term != nullptr && member_.replica().EpochOf(shard) == term->epoch;
}

const ShardTerm* Ownership::FindTerm(wire::ShardId shard) const {
  const auto it = terms_.find(shard);
  return it == terms_.end() ? nullptr : &it->second;
}

std::vector<wire::ShardEpoch> Ownership::Release(
    std::span<const wire::ShardId> shards,
    const InstanceName& to) {
  std::vector<wire::ShardEpoch> released;
  for (const wire::ShardId shard : shards) {
    if (!Serves(shard)) {
      continue;
    }
    const wire::Epoch& epoch = member_.replica().EpochOf(shard);
    const wire::Epoch next = {epoch.generation, epoch.number,
                              epoch.handovers + 1, to};
    terms_.erase(shard);
    member_.RaiseEpoch(shard, next);
    released.push_back({shard, next});
  }
  return released;
}

std::vector<wire::ShardEpoch> Ownership::Accept(
    std::span<const wire::ShardEpoch> shards,
    bool history_complete) {
  const InstanceName& self = member_.settings().info.name;
  std::vector<wire::ShardEpoch> accepted;
  for (const wire::ShardEpoch& given : shards) {
    if (given.epoch.owner != self || terms_.contains(given.shard) ||
        given.epoch < member_.replica().EpochOf(given.shard)) {
      continue;
    }
    member_.RaiseEpoch(given.shard, given.epoch);
    terms_[given.shard] = {.epoch = given.epoch,
                           .handed_over = true,
                           .history_complete = history_complete};
    accepted.push_back(given);
  }
  return accepted;
}

std::vector<wire::ShardId> Ownership::HeldShards() const {
  const auto keys = terms_ | std::views::keys;
  return {keys.begin(), keys.end()};
}

bool Ownership::AwaitsQuorum() const {
  return std::ranges::any_of(
      terms_ | std::views::values,
      [](const ShardTerm& term) { return !term.quorum_at.has_value(); });
}

uint32_t Ownership::serving() const {
  return static_cast<uint32_t>(
      std::ranges::count_if(terms_ | std::views::values, &ShardTerm::serving));
}

uint64_t Ownership::Hash() const {
  Hasher hasher;
  for (const auto& [shard, term] : terms_) {
    hasher.Add(shard);
    hasher.Add(term.epoch.generation);
    hasher.Add(term.epoch.number);
    hasher.Add(term.epoch.handovers);
    hasher.Add(term.serving);
    hasher.Add(static_cast<uint64_t>(ToMicros(term.serving_since)));
  }
  return hasher.digest();
}

}  // namespace filbertwick::core

#include "filbertwick/core/entry/handover.h"

#include <algorithm>
#include <utility>

#include "filbertwick/core/state/rendezvous.h"

namespace filbertwick::core {
namespace {

/// Time after which an unconfirmed handover is repeated.
constexpr Duration kResendInterval = std::chrono::milliseconds(50);
/// How often a handover is sent. After that the shards are recovered by a
/// takeover, which serves them only after the fence wait.
constexpr int kMaxSends = 20;
/// Time between two checks of how the shards are distributed.
constexpr Duration kBalanceInterval = std::chrono::seconds(1);
/// Most shards that one check hands over.
constexpr size_t kMaxShardsPerBalance = 8;

}  // namespace

HandoverController::HandoverController(EntryContext& context,
                                       JobIntake& intake,
                                       JobRunner& runner)
    : context_(context), intake_(intake), runner_(runner) {}

std::vector<InstanceName> HandoverController::EligibleSuccessors(
    Instant now) const {
  std::vector<InstanceName> successors;
  const Member& member = context_.member;
  const RegionState* region = member.replica().region();
  if (region == nullptr || region->sets.empty()) {
    return successors;
  }
  const auto& out = member.control().zones_out();
  for (const auto& [name, view] : member.views()) {
    const wire::InstanceInfo& info = member.control().instances().at(name);
    const bool heard =
        view.heard_at != Instant::min() &&
        now - view.heard_at <= 3 * context_.timing().probe_interval;
    if (info.role == wire::Role::kEntry && heard && view.is_voter &&
        !view.stopping && !out.contains(info.zone) &&
        region->sets.front().names.contains(name)) {
      successors.push_back(name);
    }
  }
  return successors;
}

bool HandoverController::OwnZoneIsOut() const {
  return context_.member.control().zones_out().contains(
      context_.member.settings().info.zone);
}

void HandoverController::Tick(const Now& now, Effects& effects) {
  ResendUnconfirmed(now, effects);
  // Without quorum evidence another entry may already own the shards.
  if (!context_.member.HasQuorumEvidence(now.monotonic)) {
    return;
  }
  if (hand_over_all_ || OwnZoneIsOut()) {
    HandOverServedShards(now, effects);
  } else if (next_balance_at_ <= now.monotonic) {
    next_balance_at_ = now.monotonic + kBalanceInterval;
    BalanceShards(now, effects);
  }
}

void HandoverController::HandOverServedShards(const Now& now,
                                              Effects& effects) {
  const std::vector<InstanceName> successors =
      EligibleSuccessors(now.monotonic);
  if (successors.empty() || context_.ownership.serving() == 0) {
    return;
  }
  std::map<InstanceName, std::vector<wire::ShardId>> shares;
  for (const wire::ShardId shard : context_.ownership.HeldShards()) {
    if (context_.ownership.Serves(shard)) {
      const auto order = RendezvousOrder(successors, std::to_string(shard));
      shares[order.front()].push_back(shard);
    }
  }
  for (const auto& [name, shards] : shares) {
    HandOver(now, name, shards, effects);
  }
}

void HandoverController::BalanceShards(const Now& now, Effects& effects) {
  const RegionState* region = context_.member.replica().region();
  const std::vector<InstanceName> successors =
      EligibleSuccessors(now.monotonic);
  if (successors.empty() || region->sets.size() > 1 || !unconfirmed_.empty()) {
    return;
  }
  // Count the shards of each entry and hand over to the one with the fewest.
  std::map<InstanceName, size_t> counts;
  for (wire::ShardId shard = 0; shard < wire::kShardsPerRegion; ++shard) {
    ++counts[context_.member.replica().EpochOf(shard).owner];
  }
  const auto least = std::ranges::min_element(
      successors, {}, [&](const InstanceName& name) { return counts[name]; });
  const size_t own_count = counts[context_.self()];
  const size_t least_count = counts[*least];
  if (own_count < least_count + 2) {
    return;
  }
  const size_t n =
      std::min((own_count - least_count) / 2, kMaxShardsPerBalance);
  std::vector<wire::ShardId> shards_to_move;
  for (const wire::ShardId shard : context_.ownership.HeldShards()) {
    if (shards_to_move.size() < n && context_.ownership.Serves(shard)) {
      shards_to_move.push_back(shard);
    }
  }
  HandOver(now, *least, shards_to_move, effects);
}

void HandoverController::HandOver(const Now& now,
                                  const InstanceName& to,
                                  std::span<const wire::ShardId> shards,
                                  Effects& effects) {
  const Duration window = context_.DedupeWindow();
  const bool complete =
      !context_.jobs.EvictedWithin(now.monotonic, window) &&
      std::ranges::all_of(shards, [&](wire::ShardId shard) {
        return intake_.HasCompleteHistory(now.monotonic, shard);
      });
  // From here on this entry starts no task of these shards.
  const std::vector<wire::ShardEpoch> released =
      context_.ownership.Release(shards, to);
  if (released.empty()) {
    return;
  }
  wire::Handover handover;
  handover.incarnation = context_.member.FindView(to)->incarnation;
  handover.shards = released;
  handover.complete = complete;
  intake_.ExportJobs(now.monotonic, released, handover);
  effects.push_back(SendEffect{to, handover});
  unconfirmed_.emplace(to, PendingHandover{std::move(handover),
                                           now.monotonic + kResendInterval});
  // Redirect the waiters of the jobs to the successor.
  for (const wire::ShardEpoch& shard : released) {
    for (const policy::JobHandle handle :
         context_.jobs.JobsInShard(shard.shard)) {
      runner_.RedirectAndDrop(*context_.jobs.Find(handle));
    }
  }
}

void HandoverController::ResendUnconfirmed(const Now& now, Effects& effects) {
  // Abandon handovers whose successor was removed or replaced and those that
  // were sent often enough.
  std::erase_if(unconfirmed_, [&](const auto& item) {
    const PeerView* view = context_.member.FindView(item.first);
    return view == nullptr ||
           view->incarnation != item.second.message.incarnation ||
           item.second.sends >= kMaxSends;
  });
  for (auto& [to, pending] : unconfirmed_) {
    if (pending.resend_at <= now.monotonic) {
      ++pending.sends;
      pending.resend_at = now.monotonic + kResendInterval;
      effects.push_back(SendEffect{to, pending.message});
    }
  }
}

Instant HandoverController::NextWakeup() const {
  Instant next = Instant::max();
  for (const auto& [to, pending] : unconfirmed_) {
    next = std::min(next, pending.resend_at);
  }
  return next;
}

std::vector<wire::ShardEpoch> HandoverController::OnHandover(
    const Now& now,
    const wire::Sender& from,
    const wire::Handover& handover,
    Effects& effects) {
  if (hand_over_all_ ||
      handover.incarnation != context_.member.settings().info.incarnation) {
    return {};
  }
  std::vector<wire::ShardEpoch> accepted =
      context_.ownership.Accept(handover.shards, handover.complete);
  // Import only jobs of shards that this message transferred: for other shards
  // this entry already has newer state or another entry is the owner.
  std::vector<wire::HandoverJob> jobs;
  for (const wire::HandoverJob& job : handover.jobs) {
    const bool taken = std::ranges::any_of(accepted, [&](const auto& shard) {
      return shard.shard == ShardOf(job.spec.id);
    });
    if (taken) {
      jobs.push_back(job);
    }
  }
  intake_.ImportJobs(now, jobs);
  effects.push_back(SendEffect{from.name, wire::HandoverDone{handover.shards}});
  return accepted;
}

void HandoverController::OnHandoverDone(const wire::Sender& from,
                                        const wire::HandoverDone& done) {
  std::erase_if(unconfirmed_, [&](const auto& item) {
    return item.first == from.name && item.second.message.shards == done.shards;
  });
}

}  // namespace filbertwick::core

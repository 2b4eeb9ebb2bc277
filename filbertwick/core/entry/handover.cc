#include "filbertwick/core/entry/handover.h"

#include <algorithm>
#include <utility>

#include "filbertwick/core/state/rendezvous.h"

namespace filbertwick::core {
namespace {

/// Time after which an unconfirmed handover is repeated.
constexpr Duration kRepeat = std::chrono::milliseconds(50);
/// How often a handover is sent. After that the shards are recovered by a
/// takeover, which waits for its fence.
constexpr int kMaxTries = 20;
/// Time between two checks of how the shards are distributed.
constexpr Duration kBalanceInterval = std::chrono::seconds(1);
/// Most shards that one check hands over.
constexpr size_t kBalanceShards = 8;

}  // namespace

HandoverController::HandoverController(EntryContext& context,
                                       JobIntake& intake,
                                       JobRunner& runner)
    : context_(context), intake_(intake), runner_(runner) {}

std::vector<InstanceName> HandoverController::Targets(Instant now) const {
  std::vector<InstanceName> targets;
  const Member& member = context_.member;
  const RegionState* region = member.knowledge().region();
  if (region == nullptr || region->sets.empty()) {
    return targets;
  }
  const auto& out = member.control().zones_out();
  for (const auto& [name, view] : member.views()) {
    const wire::InstanceInfo& info = member.control().instances().at(name);
    const bool heard =
        view.heard_at != Instant::min() &&
        now - view.heard_at <= 3 * context_.timing().probe_interval;
    if (info.role == wire::Role::kEntry && heard && view.vouches &&
        !view.stopping && !out.contains(info.zone) &&
        region->sets.front().names.contains(name)) {
      targets.push_back(name);
    }
  }
  return targets;
}

bool HandoverController::OwnZoneIsOut() const {
  return context_.member.control().zones_out().contains(
      context_.member.settings().info.zone);
}

void HandoverController::Tick(const Now& now, Effects& effects) {
  Repeat(now, effects);
  // Without evidence another entry may already own the shards.
  if (!context_.member.EvidenceHolds(now.monotonic)) {
    return;
  }
  if (give_all_ || OwnZoneIsOut()) {
    GiveEverything(now, effects);
  } else if (balance_at_ <= now.monotonic) {
    balance_at_ = now.monotonic + kBalanceInterval;
    Balance(now, effects);
  }
}

void HandoverController::GiveEverything(const Now& now, Effects& effects) {
  const std::vector<InstanceName> targets = Targets(now.monotonic);
  if (targets.empty() || context_.ownership.serving() == 0) {
    return;
  }
  std::map<InstanceName, std::vector<wire::ShardId>> shares;
  for (const wire::ShardId shard : context_.ownership.Held()) {
    if (context_.ownership.Serves(shard)) {
      const auto order = RendezvousOrder(targets, std::to_string(shard));
      shares[order.front()].push_back(shard);
    }
  }
  for (const auto& [name, shards] : shares) {
    Give(now, name, shards, effects);
  }
}

void HandoverController::Balance(const Now& now, Effects& effects) {
  const RegionState* region = context_.member.knowledge().region();
  const std::vector<InstanceName> targets = Targets(now.monotonic);
  if (targets.empty() || region->sets.size() > 1 || !sent_.empty()) {
    return;
  }
  // Count the shards of each entry and hand over to the one with the fewest.
  std::map<InstanceName, size_t> counts;
  for (wire::ShardId shard = 0; shard < wire::kShardsPerRegion; ++shard) {
    ++counts[context_.member.knowledge().EpochOf(shard).owner];
  }
  const auto least = std::ranges::min_element(
      targets, {}, [&](const InstanceName& name) { return counts[name]; });
  const size_t mine = counts[context_.self()];
  const size_t theirs = counts[*least];
  if (mine < theirs + 2) {
    return;
  }
  const size_t n = std::min((mine - theirs) / 2, kBalanceShards);
  std::vector<wire::ShardId> given;
  for (const wire::ShardId shard : context_.ownership.Held()) {
    if (given.size() < n && context_.ownership.Serves(shard)) {
      given.push_back(shard);
    }
  }
  Give(now, *least, given, effects);
}

void HandoverController::Give(const Now& now,
                              const InstanceName& to,
                              std::span<const wire::ShardId> shards,
                              Effects& effects) {
  const Duration window = context_.DedupeWindow();
  const bool complete = !context_.jobs.ForgotLately(now.monotonic, window) &&
                        std::ranges::all_of(shards, [&](wire::ShardId shard) {
                          return intake_.KnowsAll(now.monotonic, shard);
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
  intake_.Export(now.monotonic, released, handover);
  effects.push_back(SendEffect{to, handover});
  sent_.emplace(to, Sent{std::move(handover), now.monotonic + kRepeat});
  // Redirect the waiters of the jobs to the successor.
  for (const wire::ShardEpoch& shard : released) {
    for (const policy::JobHandle handle : context_.jobs.JobsOf(shard.shard)) {
      runner_.Disown(*context_.jobs.Find(handle));
    }
  }
}

void HandoverController::Repeat(const Now& now, Effects& effects) {
  // Abandon handovers whose successor was removed or replaced and those that
  // were sent often enough.
  std::erase_if(sent_, [&](const auto& item) {
    const PeerView* view = context_.member.FindView(item.first);
    return view == nullptr ||
           view->incarnation != item.second.message.incarnation ||
           item.second.tries >= kMaxTries;
  });
  for (auto& [to, sent] : sent_) {
    if (sent.repeat_at <= now.monotonic) {
      ++sent.tries;
      sent.repeat_at = now.monotonic + kRepeat;
      effects.push_back(SendEffect{to, sent.message});
    }
  }
}

Instant HandoverController::NextWakeup() const {
  Instant next = Instant::max();
  for (const auto& [to, sent] : sent_) {
    next = std::min(next, sent.repeat_at);
  }
  return next;
}

std::vector<wire::ShardEpoch> HandoverController::OnHandover(
    const Now& now,
    const wire::Sender& from,
    const wire::Handover& handover,
    Effects& effects) {
  if (give_all_ ||
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
  intake_.Import(now, jobs);
  effects.push_back(SendEffect{from.name, wire::HandoverDone{handover.shards}});
  return accepted;
}

void HandoverController::OnDone(const wire::Sender& from,
                                const wire::HandoverDone& done) {
  std::erase_if(sent_, [&](const auto& item) {
    return item.first == from.name && item.second.message.shards == done.shards;
  });
}

}  // namespace filbertwick::core

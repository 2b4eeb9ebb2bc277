#include "filbertwick/core/state/quorum_evidence.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace filbertwick::core {

QuorumEvidence::QuorumEvidence(InstanceName self,
                               const TimingSettings& timing,
                               const RuleSettings& rules)
    : self_(std::move(self)), timing_(timing), rules_(rules) {}

void QuorumEvidence::Record(const InstanceName& name,
                            ReceivedSummary received) {
  const auto it = summaries_.find(name);
  if (it == summaries_.end()) {
    summaries_.emplace(name, std::move(received));
  } else if (received.sent > it->second.sent) {
    it->second = std::move(received);
  }
}

void QuorumEvidence::Forget(const InstanceName& name) {
  summaries_.erase(name);
}

const ReceivedSummary* QuorumEvidence::Find(const InstanceName& name) const {
  const auto it = summaries_.find(name);
  return it == summaries_.end() ? nullptr : &it->second;
}

std::span<const MemberSet> QuorumEvidence::DecidingSets(
    std::span<const MemberSet> sets) const {
  // Without the rule settled_steps, the newest member set alone decides.
  return rules_.settled_steps || sets.empty() ? sets : sets.last(1);
}

size_t QuorumEvidence::QuorumSize(const MemberSet& set) const {
  // Without the rule majority, two members are enough.
  constexpr size_t kReducedQuorum = 2;
  return rules_.majority ? set.names.size() / 2 + 1
                         : std::min(kReducedQuorum, set.names.size());
}

Instant QuorumEvidence::ValidUntil(std::span<const MemberSet> sets,
                                   wire::LogOffset offset,
                                   bool self_is_voter) const {
  Instant until = sets.empty() ? Instant::min() : Instant::max();
  std::vector<Instant> sent;
  for (const MemberSet& set : DecidingSets(sets)) {
    sent.clear();
    for (const InstanceName& name : set.names) {
      if (name == self_) {
        if (self_is_voter) {
          sent.push_back(Instant::max());
        }
        continue;
      }
      const ReceivedSummary* received = Find(name);
      if (received != nullptr && received->is_voter &&
          received->summary.offset <= offset) {
        sent.push_back(received->sent);
      }
    }
    const size_t needed = QuorumSize(set);
    if (sent.size() < needed) {
      return Instant::min();
    }
    // The evidence lasts as long as the oldest of the `needed` newest
    // summaries.
    const auto last = sent.begin() + static_cast<std::ptrdiff_t>(needed) - 1;
    std::ranges::nth_element(sent, last, std::greater<>());
    if (*last != Instant::max()) {
      until = std::min(until, *last + timing_.evidence_age);
    }
  }
  return until;
}

bool QuorumEvidence::QuorumHasApplied(std::span<const MemberSet> sets,
                                      wire::LogOffset offset,
                                      bool self_is_voter) const {
  // No override matches the empty epoch, so that only the offset counts.
  return QuorumKnowsEpoch(sets, {}, offset, self_is_voter);
}

bool QuorumEvidence::QuorumKnowsEpoch(std::span<const MemberSet> sets,
                                      const wire::ShardEpoch& epoch,
                                      wire::LogOffset offset,
                                      bool self_is_voter) const {
  const auto knows = [&](const InstanceName& name) {
    if (name == self_) {
      return self_is_voter;
    }
    const ReceivedSummary* received = Find(name);
    if (received == nullptr || !received->is_voter) {
      return false;
    }
    if (received->summary.offset >= offset) {
      return true;
    }
    // The overrides of a summary are sorted by shard.
    const auto& overrides = received->summary.overrides;
    const auto it = std::ranges::lower_bound(overrides, epoch.shard, {},
                                             &wire::ShardEpoch::shard);
    return it != overrides.end() && it->shard == epoch.shard &&
           it->epoch >= epoch.epoch && epoch.epoch.generation > 0;
  };
  const std::span<const MemberSet> counted = DecidingSets(sets);
  return !counted.empty() &&
         std::ranges::all_of(counted, [&](const MemberSet& set) {
           const auto n = std::ranges::count_if(set.names, knows);
           return static_cast<size_t>(n) >= QuorumSize(set);
         });
}

}  // namespace filbertwick::core

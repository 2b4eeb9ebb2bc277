#include "filbertwick/core/state/evidence.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace filbertwick::core {

Evidence::Evidence(InstanceName self,
                   const TimingSettings& timing,
                   const RuleSettings& rules)
    : self_(std::move(self)), timing_(timing), rules_(rules) {}

void Evidence::Record(const InstanceName& name, HeardStatement heard) {
  const auto it = heard_.find(name);
  if (it == heard_.end()) {
    heard_.emplace(name, std::move(heard));
  } else if (heard.sent > it->second.sent) {
    it->second = std::move(heard);
  }
}

void Evidence::Forget(const InstanceName& name) {
  heard_.erase(name);
}

const HeardStatement* Evidence::Find(const InstanceName& name) const {
  const auto it = heard_.find(name);
  return it == heard_.end() ? nullptr : &it->second;
}

std::span<const MemberSet> Evidence::Counted(
    std::span<const MemberSet> sets) const {
  // Without the rule settled_steps, the newest member set alone decides.
  return rules_.settled_steps || sets.empty() ? sets : sets.last(1);
}

size_t Evidence::Needed(const MemberSet& set) const {
  constexpr size_t kWithoutMajority = 2;
  return rules_.majority ? set.names.size() / 2 + 1
                         : std::min(kWithoutMajority, set.names.size());
}

Instant Evidence::HoldsUntil(std::span<const MemberSet> sets,
                             wire::LogOffset offset,
                             bool self_vouches) const {
  Instant until = sets.empty() ? Instant::min() : Instant::max();
  std::vector<Instant> sent;
  for (const MemberSet& set : Counted(sets)) {
    sent.clear();
    for (const InstanceName& name : set.names) {
      if (name == self_) {
        if (self_vouches) {
          sent.push_back(Instant::max());
        }
        continue;
      }
      const HeardStatement* heard = Find(name);
      if (heard != nullptr && heard->vouches &&
          heard->statement.offset <= offset) {
        sent.push_back(heard->sent);
      }
    }
    const size_t needed = Needed(set);
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

bool Evidence::Carried(std::span<const MemberSet> sets,
                       wire::LogOffset offset,
                       bool self_vouches) const {
  return CarriedEpoch(sets, {}, offset, self_vouches);
}

bool Evidence::CarriedEpoch(std::span<const MemberSet> sets,
                            const wire::ShardEpoch& epoch,
                            wire::LogOffset offset,
                            bool self_vouches) const {
  const auto knows = [&](const InstanceName& name) {
    if (name == self_) {
      return self_vouches;
    }
    const HeardStatement* heard = Find(name);
    if (heard == nullptr || !heard->vouches) {
      return false;
    }
    if (heard->statement.offset >= offset) {
      return true;
    }
    // The overrides of a summary are sorted by shard.
    const auto& overrides = heard->statement.overrides;
    const auto it = std::ranges::lower_bound(overrides, epoch.shard, {},
                                             &wire::ShardEpoch::shard);
    return it != overrides.end() && it->shard == epoch.shard &&
           it->epoch >= epoch.epoch && epoch.epoch.generation > 0;
  };
  const std::span<const MemberSet> counted = Counted(sets);
  return !counted.empty() &&
         std::ranges::all_of(counted, [&](const MemberSet& set) {
           const auto n = std::ranges::count_if(set.names, knows);
           return static_cast<size_t>(n) >= Needed(set);
         });
}

}  // namespace filbertwick::core

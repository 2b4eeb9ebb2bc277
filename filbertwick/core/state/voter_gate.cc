#include "filbertwick/core/state/voter_gate.h"

#include <algorithm>
#include <span>

namespace filbertwick::core {

VoterGate::VoterGate(const NodeSettings& settings, Instant started_at)
    : settings_(settings), started_at_(started_at) {}

void VoterGate::RecordVoterReply(const InstanceName& name,
                                 wire::LogOffset offset) {
  if (open_) {
    return;
  }
  repliers_.insert(name);
  newest_offset_ = std::max(newest_offset_, offset);
}

void VoterGate::Update(Instant now,
                       const RegionState* region,
                       wire::LogOffset offset) {
  if (open_ || region == nullptr || region->generation == 0) {
    return;
  }
  const auto founder = region->founders.find(settings_.info.name);
  if (founder != region->founders.end() &&
      founder->second == settings_.info.incarnation) {
    open_ = true;
    return;
  }
  if (!settings_.rules.restart_rule) {
    open_ = true;
    return;
  }
  const bool lapsed = now >= started_at_ + 2 * settings_.timing.evidence_age;
  open_ = lapsed && offset >= newest_offset_ && HasHeardFromQuorums(*region);
  if (open_) {
    repliers_.clear();
  }
}

bool VoterGate::HasHeardFromQuorums(const RegionState& region) const {
  // A name that never bore another incarnation has forgotten nothing: the
  // settled set tells it what was taken before. Any other name must hear from
  // every set that may have counted it.
  const auto first_incarnation =
      region.first_incarnations.find(settings_.info.name);
  const bool first = first_incarnation != region.first_incarnations.end() &&
                     first_incarnation->second == settings_.info.incarnation;
  const std::span<const MemberSet> all(region.sets);
  const std::span<const MemberSet> asked = first ? all.first(1) : all;
  return std::ranges::all_of(asked, [&](const MemberSet& set) {
    const auto n = std::ranges::count_if(
        set.names, [&](const auto& name) { return repliers_.contains(name); });
    return static_cast<size_t>(n) * 2 > set.names.size();
  });
}

}  // namespace filbertwick::core

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
  const bool reports_expired =
      now >= started_at_ + 2 * settings_.timing.evidence_age;
  open_ = reports_expired && offset >= newest_offset_ &&
          HasHeardFromQuorums(*region);
  if (open_) {
    repliers_.clear();
  }
}

bool VoterGate::HasHeardFromQuorums(const RegionState& region) const {
  // The first incarnation of a name has lost no reports: a majority of the
  // settled set tells it all epochs taken before. Any other incarnation needs a
  // majority of every set that may have counted a report of its name.
  const auto first_incarnation =
      region.first_incarnations.find(settings_.info.name);
  const bool first = first_incarnation != region.first_incarnations.end() &&
                     first_incarnation->second == settings_.info.incarnation;
  const std::span<const MemberSet> all(region.sets);
  const std::span<const MemberSet> required_sets = first ? all.first(1) : all;
  return std::ranges::all_of(required_sets, [&](const MemberSet& set) {
    const auto n = std::ranges::count_if(
        set.names, [&](const auto& name) { return repliers_.contains(name); });
    return static_cast<size_t>(n) * 2 > set.names.size();
  });
}

}  // namespace filbertwick::core

#include "filbertwick/core/state/vouch_gate.h"

#include <algorithm>
#include <span>

namespace filbertwick::core {

VouchGate::VouchGate(const NodeSettings& settings, Instant born)
    : settings_(settings), born_(born) {}

void VouchGate::NoteHeard(const InstanceName& name, wire::LogOffset offset) {
  if (open_) {
    return;
  }
  heard_.insert(name);
  newest_heard_ = std::max(newest_heard_, offset);
}

void VouchGate::Update(Instant now,
                       const RegionState* region,
                       wire::LogOffset offset) {
  if (open_ || region == nullptr || region->generation == 0) {
    return;
  }
  const auto former = region->formers.find(settings_.info.name);
  if (former != region->formers.end() &&
      former->second == settings_.info.incarnation) {
    open_ = true;
    return;
  }
  if (!settings_.rules.restart_rule) {
    open_ = true;
    return;
  }
  const bool lapsed = now >= born_ + 2 * settings_.timing.evidence_age;
  open_ = lapsed && offset >= newest_heard_ && HeardEnough(*region);
  if (open_) {
    heard_.clear();
  }
}

bool VouchGate::HeardEnough(const RegionState& region) const {
  // The first incarnation of a name has lost no reports. A majority of the
  // settled set is enough for it to learn of all epochs taken before. Any other
  // incarnation needs a majority of every set that may have counted its name.
  const auto newcomer = region.newcomers.find(settings_.info.name);
  const bool first = newcomer != region.newcomers.end() &&
                     newcomer->second == settings_.info.incarnation;
  const std::span<const MemberSet> all(region.sets);
  const std::span<const MemberSet> asked = first ? all.first(1) : all;
  return std::ranges::all_of(asked, [&](const MemberSet& set) {
    const auto n = std::ranges::count_if(
        set.names, [&](const auto& name) { return heard_.contains(name); });
    return static_cast<size_t>(n) * 2 > set.names.size();
  });
}

}  // namespace filbertwick::core

#include "filbertwick/core/entry/zone_out_tracker.h"

namespace filbertwick::core {

ZoneOutTracker::ZoneOutTracker(const Member& member) : member_(member) {}

void ZoneOutTracker::Tick(Instant now) {
  const auto& out = member_.control().zones_out();
  std::erase_if(zones_out_,
                [&](const auto& item) { return !out.contains(item.first); });
  for (const auto& [zone, offset] : out) {
    ZoneOut& zone_out = zones_out_[zone];
    if (zone_out.offset != offset) {
      zone_out = {offset, Instant::max()};
    }
    if (zone_out.carried_at == Instant::max() &&
        member_.QuorumHasApplied(offset)) {
      zone_out.carried_at = now;
    }
  }
}

bool ZoneOutTracker::IsCertainlyOut(Instant now, const ZoneName& zone) const {
  const auto it = zones_out_.find(zone);
  if (it == zones_out_.end() || it->second.carried_at == Instant::max()) {
    return false;
  }
  const TimingSettings& timing = member_.settings().timing;
  constexpr int64_t kMillion = 1'000'000;
  const Duration wait = 2 * timing.evidence_age;
  return now >
         it->second.carried_at + wait + wait * timing.clock_rate_ppm / kMillion;
}

std::vector<ZoneStatus> ZoneOutTracker::Status(Instant now) const {
  std::vector<ZoneStatus> zones;
  const bundle::Bundle* bundle = member_.control().bundle();
  if (bundle == nullptr) {
    return zones;
  }
  for (const bundle::Zone& zone : bundle->zones) {
    ZoneStatus status;
    status.zone = zone.name;
    status.region = zone.region;
    status.out = member_.control().zones_out().contains(zone.name);
    status.certainly_out = status.out && IsCertainlyOut(now, zone.name);
    for (const auto& [name, view] : member_.views()) {
      const auto it = member_.control().instances().find(name);
      if (it != member_.control().instances().end() &&
          it->second.zone == zone.name) {
        status.running += view.load.running;
      }
    }
    zones.push_back(std::move(status));
  }
  return zones;
}

}  // namespace filbertwick::core

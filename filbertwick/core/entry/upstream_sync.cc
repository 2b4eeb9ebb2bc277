#include "filbertwick/core/entry/upstream_sync.h"

#include <algorithm>
#include <vector>

namespace filbertwick::core {
namespace {

/// Assumed one-way network latency between two zones of a region.
constexpr Duration kCrossZoneLatency = std::chrono::microseconds(500);

}  // namespace

UpstreamSync::UpstreamSync(const Member& member, policy::Dispatcher& dispatcher)
    : member_(member), dispatcher_(dispatcher) {}

void UpstreamSync::OnControlChanged(Instant now) {
  const bundle::Bundle* bundle = member_.control().bundle();
  if (bundle != nullptr &&
      member_.control().bundle_version() != bundle_version_) {
    bundle_version_ = member_.control().bundle_version();
    dispatcher_.SetBundle(*bundle);
  }
  SyncZones(now);
  SyncUpstreams(now);
  SyncSharing();
}

void UpstreamSync::SyncSharing() {
  // All entries of the region share its upstreams. They are ordered by name, so
  // that all of them derive the same indexes.
  const wire::InstanceInfo& self = member_.settings().info;
  std::vector<InstanceName> entries;
  for (const auto& [name, info] : member_.control().instances()) {
    if (info.role == wire::Role::kEntry && info.region == self.region) {
      entries.push_back(name);
    }
  }
  const auto it = std::ranges::find(entries, self.name);
  if (it == entries.end() || entries == sharing_entries_) {
    return;
  }
  const auto entry_index = static_cast<uint32_t>(it - entries.begin());
  dispatcher_.SetEntrySharing(static_cast<uint32_t>(entries.size()),
                              entry_index);
  sharing_entries_ = std::move(entries);
}

void UpstreamSync::SyncZones(Instant now) {
  std::set<ZoneName> out;
  for (const auto& [zone, offset] : member_.control().zones_out()) {
    out.insert(zone);
  }
  for (const ZoneName& zone : out) {
    if (!zones_out_.contains(zone)) {
      dispatcher_.SetZoneOut(zone, true, now);
    }
  }
  for (const ZoneName& zone : zones_out_) {
    if (!out.contains(zone)) {
      dispatcher_.SetZoneOut(zone, false, now);
    }
  }
  zones_out_ = std::move(out);
}

void UpstreamSync::SyncUpstreams(Instant now) {
  const wire::InstanceInfo& self = member_.settings().info;
  std::set<InstanceName> present;
  for (const auto& [name, info] : member_.control().instances()) {
    if (info.role != wire::Role::kSidecar || info.region != self.region) {
      continue;
    }
    present.insert(name);
    if (synced_upstreams_.contains(name)) {
      continue;
    }
    const Duration distance =
        info.zone == self.zone ? Duration(0) : kCrossZoneLatency;
    dispatcher_.UpsertUpstream({name, info.service, info.zone, distance}, now);
  }
  for (const InstanceName& name : synced_upstreams_) {
    if (!present.contains(name)) {
      dispatcher_.RemoveUpstream(name);
      silent_sidecars_.erase(name);
    }
  }
  synced_upstreams_ = std::move(present);
}

void UpstreamSync::OnLoad(Instant now,
                          const InstanceName& name,
                          const wire::Load& load) {
  if (synced_upstreams_.contains(name)) {
    silent_sidecars_.erase(name);
    dispatcher_.UpdateLoad(name, load, now);
  }
}

void UpstreamSync::OnSidecarReplaced(Instant now, const InstanceName& name) {
  if (synced_upstreams_.contains(name)) {
    dispatcher_.UpdateLoad(name, {}, now);
  }
}

void UpstreamSync::Tick(Instant now) {
  const Duration silence_limit = member_.settings().timing.evidence_age;
  for (const InstanceName& name : synced_upstreams_) {
    const PeerView* view = member_.FindView(name);
    const bool silent = view == nullptr || view->heard_at == Instant::min() ||
                        now - view->heard_at > silence_limit;
    if (silent && silent_sidecars_.insert(name).second) {
      dispatcher_.UpdateLoad(name, {}, now);
    }
  }
}

}  // namespace filbertwick::core

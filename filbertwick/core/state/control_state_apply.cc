// Application of each kind of control record to the control state.
#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "filbertwick/bundle/bundle_parser.h"
#include "filbertwick/core/state/control_state.h"
#include "filbertwick/core/state/rendezvous.h"

namespace filbertwick::core {
namespace {

ApplyResult Refuse(std::string why) {
  return {false, std::move(why)};
}

/// Returns the entries among the founding members of a generation.
std::vector<InstanceName> FoundingEntries(
    const wire::ResetRegion& reset,
    const std::map<InstanceName, wire::InstanceInfo>& instances) {
  std::vector<InstanceName> entries;
  for (const wire::ResetMember& member : reset.members) {
    const auto it = instances.find(member.name);
    if (it != instances.end() && it->second.role == wire::Role::kEntry) {
      entries.push_back(member.name);
    }
  }
  return entries;
}

}  // namespace

ApplyResult ControlState::ApplyBody(const wire::ControlRecord& record,
                                    const wire::PublishBundle& publish) {
  if (publish.based_on != data_.bundle_version ||
      publish.version <= data_.bundle_version) {
    return Refuse(fmt::format("version {} by {} is in force",
                              data_.bundle_version,
                              data_.bundle_author.value()));
  }
  bundle::ParsedBundle parsed = bundle::ParseBundle("bundle", publish.text);
  if (!parsed.bundle) {
    return Refuse(FormatFindings(parsed.findings));
  }
  if (parsed.bundle->version != publish.version) {
    return Refuse("the version differs from the one inside the bundle");
  }
  data_.bundle_version = publish.version;
  data_.bundle_text = publish.text;
  data_.bundle_author = record.author;
  bundle_ = std::make_shared<bundle::Bundle>(*std::move(parsed.bundle));
  return {};
}

ApplyResult ControlState::ApplyBody(const wire::ControlRecord&,
                                    const wire::SetZone& zone) {
  if (!bundle_ || bundle_->FindZone(zone.zone) == nullptr) {
    return Refuse(fmt::format("the bundle has no zone {}", zone.zone.value()));
  }
  if (!zone.out) {
    data_.zones_out.erase(zone.zone);
    return {};
  }
  data_.zones_out.try_emplace(zone.zone, data_.offset + 1);
  return {};
}

ApplyResult ControlState::ApplyBody(const wire::ControlRecord&,
                                    const wire::JoinInstance& join) {
  if (join.info.name.empty()) {
    return Refuse("an instance needs a name");
  }
  const auto it = data_.instances.find(join.info.name);
  if (it != data_.instances.end() && (it->second.role != join.info.role ||
                                      it->second.region != join.info.region)) {
    return Refuse("the name is taken by an instance of another kind");
  }
  UpdateFirstIncarnations(join.info);
  data_.instances[join.info.name] = join.info;
  UpdateMemberSets(join.info, true);
  return {};
}

ApplyResult ControlState::ApplyBody(const wire::ControlRecord& record,
                                    const wire::LeaveInstance& leave) {
  const auto it = data_.instances.find(leave.name);
  if (it == data_.instances.end()) {
    return Refuse("no such instance is on record");
  }
  if (leave.incarnation != 0 && it->second.incarnation != leave.incarnation) {
    return Refuse("a newer incarnation is on record");
  }
  const wire::InstanceInfo info = it->second;
  data_.instances.erase(it);
  data_.departures.push_back({info, record.written});
  UpdateMemberSets(info, false);
  return {};
}

void ControlState::UpdateFirstIncarnations(const wire::InstanceInfo& info) {
  RegionState& region = data_.regions[info.region];
  const bool is_member = std::ranges::any_of(
      region.sets,
      [&](const MemberSet& set) { return set.names.contains(info.name); });
  const bool left_recently =
      std::ranges::any_of(data_.departures, [&](const Departure& departure) {
        return departure.info.name == info.name;
      });
  const auto it = data_.instances.find(info.name);
  const bool same_incarnation =
      it != data_.instances.end() && it->second.incarnation == info.incarnation;
  if (it == data_.instances.end() && !is_member && !left_recently) {
    region.first_incarnations[info.name] = info.incarnation;
  } else if (!same_incarnation) {
    region.first_incarnations.erase(info.name);
  }
}

void ControlState::UpdateMemberSets(const wire::InstanceInfo& info,
                                    bool joins) {
  const auto it = data_.regions.find(info.region);
  if (it == data_.regions.end() || it->second.generation == 0) {
    return;
  }
  std::vector<MemberSet>& sets = it->second.sets;
  MemberSet next = sets.back();
  const bool changed = joins ? next.names.insert(info.name).second
                             : next.names.erase(info.name) > 0;
  if (!changed) {
    return;
  }
  next.since = data_.offset + 1;
  // The second set may be about to be settled (SettleMembers names it by its
  // offset) and must not change; all further changes accumulate in the third.
  if (sets.size() == 3) {
    sets.back() = std::move(next);
  } else {
    sets.push_back(std::move(next));
  }
}

ApplyResult ControlState::ApplyBody(const wire::ControlRecord&,
                                    const wire::SettleMembers& settle) {
  const auto it = data_.regions.find(settle.region);
  if (it == data_.regions.end() || it->second.sets.size() < 2 ||
      it->second.sets[1].since != settle.through) {
    return Refuse("no such step waits to be settled");
  }
  it->second.sets.erase(it->second.sets.begin());
  return {};
}

ApplyResult ControlState::ApplyBody(const wire::ControlRecord&,
                                    const wire::TakeShards& take) {
  const auto it = data_.regions.find(take.region);
  if (it == data_.regions.end() || it->second.generation == 0) {
    return Refuse("the region has no members yet");
  }
  RegionState& region = it->second;
  ApplyResult result = Refuse("a later epoch is on record");
  for (const wire::ShardEpoch& taken : take.shards) {
    if (taken.shard >= region.epochs.size() ||
        taken.epoch.generation != region.generation ||
        taken.epoch <= region.epochs[taken.shard]) {
      continue;
    }
    region.epochs[taken.shard] = taken.epoch;
    result = {};
  }
  return result;
}

ApplyResult ControlState::ApplyBody(const wire::ControlRecord&,
                                    const wire::ResetRegion& reset) {
  RegionState& region = data_.regions[reset.region];
  // By raising the generation in the bundle, operators confirm that the former
  // instances are gone for good. Only then, and for the first generation, the
  // founding members replace the names of the member set.
  const bool replaces_names =
      region.generation == 0 ||
      (bundle_ && bundle_->generation > region.generation &&
       bundle_->generation == reset.generation);
  if (!replaces_names && reset.generation != region.generation + 1) {
    return Refuse(fmt::format("generation {} is on record", region.generation));
  }
  const std::vector<InstanceName> entries =
      FoundingEntries(reset, data_.instances);
  if (entries.empty()) {
    return Refuse("no entry is among the members");
  }
  MemberSet members;
  members.since = data_.offset + 1;
  if (!replaces_names) {
    members.names = region.sets.back().names;
  }
  region.founders.clear();
  for (const wire::ResetMember& member : reset.members) {
    region.founders[member.name] = member.incarnation;
    if (replaces_names) {
      members.names.insert(member.name);
    }
  }
  region.generation = reset.generation;
  region.formed_offset = data_.offset + 1;
  region.sets = {std::move(members)};
  // Every shard gets a new epoch; ownership is spread over the founding
  // entries.
  region.epochs.resize(wire::kShardsPerRegion);
  for (wire::ShardId shard = 0; shard < wire::kShardsPerRegion; ++shard) {
    const std::vector<InstanceName> order =
        RendezvousOrder(entries, fmt::format("shard/{}", shard));
    region.epochs[shard] = {reset.generation, 1, 0, order.front()};
  }
  return {};
}

ApplyResult ControlState::ApplyBody(const wire::ControlRecord&,
                                    const wire::Checkpoint& checkpoint) {
  if (checkpoint.offset != data_.offset) {
    return Refuse("another record came between");
  }
  data_.checkpoint = data_.offset + 1;
  return {};
}

ApplyResult ControlState::ApplyBody(const wire::ControlRecord&,
                                    const wire::UpstreamEjection&) {
  return {};
}

}  // namespace filbertwick::core

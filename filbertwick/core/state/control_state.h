#ifndef FILBERTWICK_CORE_STATE_CONTROL_STATE_H_
#define FILBERTWICK_CORE_STATE_CONTROL_STATE_H_

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/bundle/bundle.h"
#include "filbertwick/wire/control_record.h"
#include "filbertwick/wire/epoch.h"

namespace filbertwick::core {

/// A set of instances that decides by majority, effective from one offset on.
struct MemberSet {
  /// Offset after the record that created this set.
  wire::LogOffset since = 0;
  std::set<InstanceName> names;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(since, names);
  }
};

/// State of a region.
struct RegionState {
  /// Incremented by each reset; 0 before the first one.
  uint32_t generation = 0;
  /// Offset after the ResetRegion record of the generation.
  wire::LogOffset formed_offset = 0;
  /// Founding members of the generation with their incarnations. They are
  /// voters from the start.
  std::map<InstanceName, wire::Incarnation> founders;
  /// Instances whose present incarnation is the first one of their name: when
  /// it joined, the name wasn't registered, in no member set, and hadn't left
  /// within the dedupe window.
  std::map<InstanceName, wire::Incarnation> first_incarnations;
  /// The settled member set, followed by the changed sets that are not settled
  /// yet, oldest first; at most three. A quorum needs a majority of each.
  std::vector<MemberSet> sets;
  /// Epoch of each shard; empty before the first reset.
  std::vector<wire::Epoch> epochs;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(generation, formed_offset, founders, first_incarnations, sets,
            epochs);
  }
};

/// An instance that left or was removed within the dedupe window.
struct Departure {
  wire::InstanceInfo info;
  /// Time of the LeaveInstance record.
  WallTime left;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(info, left);
  }
};

/// Result of applying a control record: accepted, or refused with a reason.
struct ApplyResult {
  bool accepted = true;
  /// Reason of the refusal. For a bundle or a region reset that conflicts with
  /// an accepted one, it names the version or generation of the latter.
  std::string why;
};

/// Replicated state machine over the control stream. Applying a record is
/// deterministic, so the same records produce the same state at every instance.
/// Of conflicting records, the first in log order wins.
class ControlState {
 public:
  ControlState();

  /// Applies the record at offset(). A refused record only advances the offset.
  ApplyResult Apply(const wire::ControlRecord& record);

  /// Encodes the whole state, for checkpoints and snapshots.
  std::string Encode() const;
  /// Replaces this state by an encoded one. Returns InvalidArgument for
  /// malformed input, FailedPrecondition for a state with a lower offset.
  absl::Status Decode(std::string_view bytes);

  /// Number of records applied.
  wire::LogOffset offset() const { return data_.offset; }
  /// Offset after the last accepted checkpoint record; 0 before the first.
  wire::LogOffset checkpoint() const { return data_.checkpoint; }
  /// The bundle in force; null before the first.
  const bundle::Bundle* bundle() const { return bundle_.get(); }
  /// Version of the bundle in force; 0 before the first.
  uint64_t bundle_version() const { return data_.bundle_version; }
  /// Published text of the bundle in force.
  const std::string& bundle_text() const { return data_.bundle_text; }
  /// Zones out of service, with the offset after the record that took them out.
  const std::map<ZoneName, wire::LogOffset>& zones_out() const {
    return data_.zones_out;
  }
  /// Registered instances: those that joined and haven't left.
  const std::map<InstanceName, wire::InstanceInfo>& instances() const {
    return data_.instances;
  }
  /// Instances that left within the dedupe window, oldest first.
  const std::vector<Departure>& departures() const { return data_.departures; }
  /// Returns the region, or null when no record has mentioned it.
  const RegionState* FindRegion(const RegionName& name) const;
  /// True when the change is among the recently applied ones, whether accepted
  /// or refused.
  bool HasApplied(const ChangeId& change) const;
  /// Returns the result of a recently applied change; null when not known.
  const ApplyResult* FindResult(const ChangeId& change) const;

  /// Returns the entries of the newest member set of a region, without `owner`,
  /// in the order in which they take over the shard from it.
  std::vector<InstanceName> Successors(const RegionName& region,
                                       wire::ShardId shard,
                                       const InstanceName& owner) const;

  /// Digest of the whole state.
  uint64_t Hash() const;

 private:
  /// Encoded form of the result of an applied change.
  struct AppliedChange {
    ChangeId change;
    bool accepted = true;
    std::string why;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(change, accepted, why);
    }
  };

  /// The encoded part of the state.
  struct Data {
    wire::LogOffset offset = 0;
    wire::LogOffset checkpoint = 0;
    uint64_t bundle_version = 0;
    std::string bundle_text;
    AuthorName bundle_author;
    std::map<ZoneName, wire::LogOffset> zones_out;
    std::map<InstanceName, wire::InstanceInfo> instances;
    std::map<RegionName, RegionState> regions;
    std::vector<Departure> departures;
    std::vector<AppliedChange> recent;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(offset, checkpoint, bundle_version, bundle_text, bundle_author,
              zones_out, instances, regions, departures, recent);
    }
  };

  ApplyResult ApplyBody(const wire::ControlRecord& record,
                        const wire::PublishBundle& publish);
  ApplyResult ApplyBody(const wire::ControlRecord& record,
                        const wire::SetZone& zone);
  ApplyResult ApplyBody(const wire::ControlRecord& record,
                        const wire::JoinInstance& join);
  ApplyResult ApplyBody(const wire::ControlRecord& record,
                        const wire::LeaveInstance& leave);
  ApplyResult ApplyBody(const wire::ControlRecord& record,
                        const wire::SettleMembers& settle);
  ApplyResult ApplyBody(const wire::ControlRecord& record,
                        const wire::TakeShards& take);
  ApplyResult ApplyBody(const wire::ControlRecord& record,
                        const wire::ResetRegion& reset);
  ApplyResult ApplyBody(const wire::ControlRecord& record,
                        const wire::Checkpoint& checkpoint);
  ApplyResult ApplyBody(const wire::ControlRecord& record,
                        const wire::UpstreamEjection& ejection);

  void UpdateFirstIncarnations(const wire::InstanceInfo& info);
  void UpdateMemberSets(const wire::InstanceInfo& info, bool joins);
  void ExpireDepartures(WallTime written);
  void RememberResult(const ChangeId& change, const ApplyResult& result);

  Data data_;
  /// Parsed form of data_.bundle_text.
  std::shared_ptr<const bundle::Bundle> bundle_;
  /// The results in data_.recent, by change.
  std::map<ChangeId, ApplyResult> results_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_CONTROL_STATE_H_

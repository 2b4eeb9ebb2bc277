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

/// The names that are counted as one majority, from one offset on.
struct MemberSet {
  /// Offset after the record that made this set.
  wire::LogOffset since = 0;
  std::set<InstanceName> names;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(since, names);
  }
};

/// One region as the control stream tells it.
struct RegionState {
  uint32_t generation = 0;
  /// Offset after the record that formed the generation.
  wire::LogOffset formed_offset = 0;
  /// Incarnations that formed it, and may vouch from the start.
  std::map<InstanceName, wire::Incarnation> founders;
  /// Names that no earlier incarnation ever bore, with the present one.
  std::map<InstanceName, wire::Incarnation> first_incarnations;
  /// The settled member set, then those not settled yet, oldest first.
  std::vector<MemberSet> sets;
  /// Epoch of each shard by the stream; empty before the first reset.
  std::vector<wire::Epoch> epochs;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(generation, formed_offset, founders, first_incarnations, sets,
            epochs);
  }
};

/// An instance that left or was taken off the record not long ago.
struct Departure {
  wire::InstanceInfo info;
  WallTime left;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(info, left);
  }
};

/// What became of one record.
struct ApplyResult {
  bool accepted = true;
  /// Why it was refused; names the change that won.
  std::string why;
};

/// A pure fold over the control stream: the same records give the same state
/// everywhere. The first record in log order wins.
class ControlState {
 public:
  ControlState();

  /// Folds the record at offset(). Refused records change nothing but the
  /// offset.
  ApplyResult Apply(const wire::ControlRecord& record);

  /// Bytes of the whole state, for checkpoints and snapshots.
  std::string Encode() const;
  /// Replaces this state; InvalidArgument for damaged bytes. Older state than
  /// this one is refused with FailedPrecondition.
  absl::Status Decode(std::string_view bytes);

  /// Number of records folded.
  wire::LogOffset offset() const { return data_.offset; }
  /// Offset after the last checkpoint record.
  wire::LogOffset checkpoint() const { return data_.checkpoint; }
  /// The accepted bundle; null before the first.
  const bundle::Bundle* bundle() const { return bundle_.get(); }
  /// Version of the accepted bundle; 0 before the first.
  uint64_t bundle_version() const { return data_.bundle_version; }
  /// The accepted bundle as it was published.
  const std::string& bundle_text() const { return data_.bundle_text; }
  /// Zones taken out, each with the offset after the record that did it.
  const std::map<ZoneName, wire::LogOffset>& zones_out() const {
    return data_.zones_out;
  }
  /// Instances that joined and have not left.
  const std::map<InstanceName, wire::InstanceInfo>& instances() const {
    return data_.instances;
  }
  /// Instances that left within the dedupe window, oldest first.
  const std::vector<Departure>& departures() const { return data_.departures; }
  /// The region, or null when nothing of it is known.
  const RegionState* FindRegion(const RegionName& name) const;
  /// True when the change was folded, accepted or refused, not long ago.
  bool HasApplied(const ChangeId& change) const;
  /// The verdict on a change folded not long ago; null when not known.
  const ApplyResult* FindResult(const ChangeId& change) const;

  /// Entries of the region's newest member set in the order in which they
  /// succeed an owner of the shard; the owner itself is left out.
  std::vector<InstanceName> Successors(const RegionName& region,
                                       wire::ShardId shard,
                                       const InstanceName& owner) const;

  /// Digest of the whole state.
  uint64_t Hash() const;

 private:
  /// What a checkpoint keeps of one folded change.
  struct AppliedChange {
    ChangeId change;
    bool accepted = true;
    std::string why;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(change, accepted, why);
    }
  };

  /// Everything that is encoded.
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
  /// Parsed form of data_.recent.
  std::map<ChangeId, ApplyResult> results_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_CONTROL_STATE_H_

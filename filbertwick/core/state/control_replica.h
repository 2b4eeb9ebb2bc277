#ifndef FILBERTWICK_CORE_STATE_CONTROL_REPLICA_H_
#define FILBERTWICK_CORE_STATE_CONTROL_REPLICA_H_

#include <absl/status/status.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "filbertwick/core/state/control_state.h"
#include "filbertwick/wire/control_record.h"
#include "filbertwick/wire/epoch.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::core {

/// All that one instance knows: the fold of the control stream, and epochs of
/// its own region's shards that are higher than the fold gives.
class ControlReplica {
 public:
  /// Knows nothing of `region` yet.
  explicit ControlReplica(RegionName region);

  /// Folds the record at control().offset() and keeps it for others.
  ApplyResult Apply(const wire::ControlRecord& record);
  /// Takes over a newer state; errors as ControlState::Decode().
  absl::Status InstallState(std::string_view bytes);

  /// Epoch of a shard, by the fold or higher.
  const wire::Epoch& EpochOf(wire::ShardId shard) const;
  /// Learns of an epoch; true when it is higher than the one known.
  bool UpdateEpoch(wire::ShardId shard, const wire::Epoch& epoch);
  /// Learns the epochs of a statement; true when one is higher.
  bool MergeSummary(const wire::StateSummary& summary);

  /// What this instance tells others.
  wire::StateSummary MakeSummary() const;
  /// The kept records from `offset` on, at most `max_bytes` of them but at
  /// least one; nothing when they are not kept any more.
  std::optional<wire::Records> RecordsFrom(wire::LogOffset offset,
                                           size_t max_bytes) const;

  /// The fold.
  const ControlState& control() const { return control_; }
  /// The own region; null before anything of it is known.
  const RegionState* region() const { return control_.FindRegion(region_); }
  /// Digest of the state.
  uint64_t Hash() const;

 private:
  void DropSupersededOverrides();

  RegionName region_;
  ControlState control_;
  std::map<wire::ShardId, wire::Epoch> overrides_;
  std::deque<wire::ControlRecord> recent_records_;
  wire::LogOffset recent_start_ = 0;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_CONTROL_REPLICA_H_

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

/// Replica of the control state at one instance, together with overrides:
/// epochs of shards of its own region that are higher than those in the control
/// state. Recent records are retained to bring other instances up to date.
class ControlReplica {
 public:
  /// Creates an empty replica for an instance of `region`.
  explicit ControlReplica(RegionName region);

  /// Applies the record at control().offset() and retains it for others.
  ApplyResult Apply(const wire::ControlRecord& record);
  /// Replaces the control state by an encoded one; errors as
  /// ControlState::Decode().
  absl::Status InstallState(std::string_view bytes);

  /// Returns the highest known epoch of a shard.
  const wire::Epoch& EpochOf(wire::ShardId shard) const;
  /// Stores an epoch if it is higher than the known one; returns true if so.
  bool UpdateEpoch(wire::ShardId shard, const wire::Epoch& epoch);
  /// Stores the higher epochs of a received summary; returns true if there are
  /// any.
  bool MergeSummary(const wire::StateSummary& summary);

  /// Returns the state summary that this instance reports to others.
  wire::StateSummary MakeSummary() const;
  /// Returns the retained records from `offset` on: at most `max_bytes`
  /// (estimated), but at least one record. Returns nullopt when the record at
  /// `offset` is no longer retained or not applied yet.
  std::optional<wire::Records> RecordsFrom(wire::LogOffset offset,
                                           size_t max_bytes) const;

  /// The replicated control state.
  const ControlState& control() const { return control_; }
  /// The region of this instance; null before any record has mentioned it.
  const RegionState* region() const { return control_.FindRegion(region_); }
  /// Digest of the control state and the overrides.
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

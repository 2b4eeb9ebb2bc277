#ifndef FILBERTWICK_CORE_STATE_VOTER_GATE_H_
#define FILBERTWICK_CORE_STATE_VOTER_GATE_H_

#include <set>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/settings.h"
#include "filbertwick/core/state/control_state.h"

namespace filbertwick::core {

/// Decides when a new incarnation of an instance becomes a voter. A restart
/// loses the epochs that earlier incarnations of the name reported, although a
/// quorum may have relied on those reports. A new incarnation therefore becomes
/// a voter only when three conditions hold: other voters that are a majority of
/// each member set have replied to its probes, it has applied every record that
/// they reported, and twice the evidence age has passed since its start, so
/// that all reports of earlier incarnations have expired. A founding member of
/// the generation of the region is a voter at once; the first incarnation of a
/// name needs a majority of the settled member set alone.
class VoterGate {
 public:
  /// Creates a closed gate for an instance that started at `started_at`.
  VoterGate(const NodeSettings& settings, Instant started_at);

  /// Records that a voter reported `offset` applied records, in reply to a
  /// probe that was sent after the start of this incarnation.
  void RecordVoterReply(const InstanceName& name, wire::LogOffset offset);

  /// Opens the gate if all conditions hold. `region` is the region of this
  /// instance or null, `offset` the number of records applied. An open gate
  /// never closes.
  void Update(Instant now, const RegionState* region, wire::LogOffset offset);

  /// True once the instance is a voter.
  bool open() const { return open_; }

 private:
  bool HasHeardFromQuorums(const RegionState& region) const;

  NodeSettings settings_;
  Instant started_at_;
  std::set<InstanceName> repliers_;
  wire::LogOffset newest_offset_ = 0;
  bool open_ = false;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_VOTER_GATE_H_

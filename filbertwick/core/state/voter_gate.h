#ifndef FILBERTWICK_CORE_STATE_VOTER_GATE_H_
#define FILBERTWICK_CORE_STATE_VOTER_GATE_H_

#include <set>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/settings.h"
#include "filbertwick/core/state/control_state.h"

namespace filbertwick::core {

/// Decides when a new incarnation may vouch. It has forgotten what its name
/// vouched for, so it first hears from more than half of the members other
/// than itself, all able to vouch, and waits until older statements lapse. An
/// instance that formed the region's generation may vouch at once.
class VoterGate {
 public:
  /// A gate for an instance that started at `born`.
  VoterGate(const NodeSettings& settings, Instant started_at);

  /// An instance able to vouch told what it knows, in answer to a probe sent
  /// after the start.
  void RecordVoterReply(const InstanceName& name, wire::LogOffset offset);

  /// Looks whether the gate opens now, given the region's state and the number
  /// of records folded. Once open it stays so.
  void Update(Instant now, const RegionState* region, wire::LogOffset offset);

  /// True once the instance may vouch.
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

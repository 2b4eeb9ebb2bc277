#ifndef FILBERTWICK_CORE_STATE_QUORUM_EVIDENCE_H_
#define FILBERTWICK_CORE_STATE_QUORUM_EVIDENCE_H_

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/settings.h"
#include "filbertwick/core/state/control_state.h"
#include "filbertwick/wire/epoch.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::core {

/// What one instance last told this one.
struct ReceivedSummary {
  /// When this instance sent the probe that was answered, on its own clock.
  Instant sent;
  /// Its overrides are in order of shard.
  wire::StateSummary summary;
  /// The teller counted itself able to vouch.
  bool is_voter = false;
};

/// Collects statements of instances and answers what more than half of each
/// member set knows. A statement counts from the moment its probe was sent, so
/// that a late message proves nothing.
class QuorumEvidence {
 public:
  /// Evidence of the instance `self`.
  QuorumEvidence(InstanceName self,
                 const TimingSettings& timing,
                 const RuleSettings& rules);

  /// Keeps a statement when its probe was sent later than the last one's.
  void Record(const InstanceName& name, ReceivedSummary received);
  /// Drops what is known of an instance that is off the record.
  void Forget(const InstanceName& name);

  /// Until when more than half of every set, self included when it vouches,
  /// is known to know no later offset than `offset`; Instant::min() when the
  /// statements do not suffice.
  Instant ValidUntil(std::span<const MemberSet> sets,
                     wire::LogOffset offset,
                     bool self_is_voter) const;

  /// True when more than half of every set, self included when it vouches,
  /// has said that it folded `offset` records.
  bool QuorumHasApplied(std::span<const MemberSet> sets,
                        wire::LogOffset offset,
                        bool self_is_voter) const;

  /// True when more than half of every set knows the epoch of a shard, either
  /// as an override or by having folded `offset` records; `offset` is
  /// kNotInLog while the epoch is not in the stream.
  bool QuorumKnowsEpoch(std::span<const MemberSet> sets,
                        const wire::ShardEpoch& epoch,
                        wire::LogOffset offset,
                        bool self_is_voter) const;

  /// The newest statement of an instance; null when none is known.
  const ReceivedSummary* Find(const InstanceName& name) const;

  /// An offset no statement reaches.
  static constexpr wire::LogOffset kNotInLog = ~wire::LogOffset{0};

 private:
  std::span<const MemberSet> DecidingSets(
      std::span<const MemberSet> sets) const;
  size_t QuorumSize(const MemberSet& set) const;

  InstanceName self_;
  TimingSettings timing_;
  RuleSettings rules_;
  std::map<InstanceName, ReceivedSummary> summaries_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_QUORUM_EVIDENCE_H_

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

/// Newest state summary that was received from an instance.
struct ReceivedSummary {
  /// When this instance sent the probe that was answered, on its own monotonic
  /// clock. Without the rule round_trip_age: when the reply arrived.
  Instant sent;
  /// The overrides are in ascending order of shard.
  wire::StateSummary summary;
  /// The replying instance was a voter.
  bool is_voter = false;
};

/// Collects the state summaries of other instances and derives what a quorum
/// knows. A quorum is a majority of each member set, of which only voters
/// count. The age of a summary is measured from the sending of the probe that
/// it answers: the summary was true at some time after that, so a delayed reply
/// doesn't make it look newer than it is.
class QuorumEvidence {
 public:
  /// Creates an empty collection for the instance `self`.
  QuorumEvidence(InstanceName self,
                 const TimingSettings& timing,
                 const RuleSettings& rules);

  /// Stores a summary, replacing the former one of the instance if that answers
  /// an earlier probe; otherwise ignores it.
  void Record(const InstanceName& name, ReceivedSummary received);
  /// Drops the summary of an instance that is no longer registered.
  void Forget(const InstanceName& name);

  /// Returns until when there is quorum evidence: a quorum has reported, no
  /// longer ago than the evidence age, that it has applied no more than
  /// `offset` records. This instance counts towards the quorum if it is a
  /// voter. Returns Instant::min() without quorum evidence, Instant::max() when
  /// this instance alone is a quorum.
  Instant ValidUntil(std::span<const MemberSet> sets,
                     wire::LogOffset offset,
                     bool self_is_voter) const;

  /// True when a quorum has reported that it has applied at least `offset`
  /// records. This instance counts towards the quorum if it is a voter.
  bool QuorumHasApplied(std::span<const MemberSet> sets,
                        wire::LogOffset offset,
                        bool self_is_voter) const;

  /// True when a quorum has reported that it knows the epoch of a shard or a
  /// higher one, as an override or by having applied `offset` records. `offset`
  /// is kNotInLog while the epoch isn't in the control stream.
  bool QuorumKnowsEpoch(std::span<const MemberSet> sets,
                        const wire::ShardEpoch& epoch,
                        wire::LogOffset offset,
                        bool self_is_voter) const;

  /// Returns the newest summary of an instance, or null.
  const ReceivedSummary* Find(const InstanceName& name) const;

  /// Stands for the offset of an epoch that isn't in the control stream; no
  /// summary reaches it.
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

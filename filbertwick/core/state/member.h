#ifndef FILBERTWICK_CORE_STATE_MEMBER_H_
#define FILBERTWICK_CORE_STATE_MEMBER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string_view>

#include "filbertwick/core/effect.h"
#include "filbertwick/core/event.h"
#include "filbertwick/core/settings.h"
#include "filbertwick/core/state/control_replica.h"
#include "filbertwick/core/state/peer_view.h"
#include "filbertwick/core/state/quorum_evidence.h"
#include "filbertwick/core/state/voter_gate.h"

namespace filbertwick::core {

/// Callbacks of a Member into the core that contains it.
struct MemberHooks {
  /// A record was applied at `offset`.
  std::function<void(wire::LogOffset offset,
                     const wire::ControlRecord& record,
                     const ApplyResult& result)>
      applied;
  /// The whole control state was replaced; any part of it may have changed.
  std::function<void()> state_installed;
  /// An instance sent a message under a new incarnation: the former one is
  /// gone.
  std::function<void(const InstanceName& name)> replaced;
  /// A higher epoch was learned from another instance.
  std::function<void()> epoch_raised;
  /// A sidecar reported its load.
  std::function<void(const InstanceName& name, const wire::Load& load)> load;
  /// Returns the load to report to others; unset for entries.
  std::function<wire::Load()> own_load;
};

/// Membership of an instance in its region, for entries and sidecars alike.
/// Sends and answers probes, replicates control records, and derives what a
/// quorum knows.
///
/// Ownership protocol: a new owner of a shard raises its epoch, waits until a
/// quorum (voters that are a majority of each member set) has reported in
/// ProbeReply messages that it knows the epoch, and then waits twice the
/// evidence age F. An owner starts tasks only while it knows no higher epoch
/// and has quorum evidence: a quorum has reported, no more than F ago, that it
/// has applied no more records than the owner. An offer carries a clock token
/// of the sidecar that the owner held when it checked the evidence; the sidecar
/// refuses tokens older than F and epochs below the one that it knows. So the
/// evidence of a former owner expires in the first F of the wait, its last
/// tokens in the second: after the wait, none of its offers can start a task.
class Member {
 public:
  /// Creates a member with an empty control state that starts at `now`.
  Member(const NodeSettings& settings, MemberHooks hooks, Instant now);

  /// Returns false for a message of a replaced incarnation, which must be
  /// dropped. Otherwise returns true and, if the sender is registered in the
  /// region, records that it is alive. Calls MemberHooks::replaced when the
  /// message is the first one of an incarnation that replaces another.
  bool AcceptSender(Instant now, const wire::Sender& from);
  /// Stores what the probe reports, replies with the summary of this instance,
  /// and requests the records that this instance lacks.
  void OnProbe(Instant now,
               const wire::Sender& from,
               const wire::Probe& probe,
               Effects& effects);
  /// Stores the summary and load of the sender, and requests the records that
  /// this instance lacks. Drops a reply to a probe of an earlier incarnation of
  /// this instance.
  void OnProbeReply(Instant now,
                    const wire::Sender& from,
                    const wire::ProbeReply& reply,
                    Effects& effects);
  /// Sends the requested records, or a snapshot when they are no longer
  /// retained.
  void OnRecordsRequest(const wire::Sender& from,
                        const wire::RecordsRequest& request,
                        Effects& effects);
  /// Applies the records that are new; ignores the message if it leaves a gap.
  void OnRecords(const wire::Records& records);
  /// Replaces the control state, unless the snapshot is malformed or older.
  void OnSnapshot(const wire::Snapshot& snapshot);
  /// Applies records read from the log. If older ones were trimmed, continues
  /// from a checkpoint; logs an error when there is none.
  void OnLogRead(const LogReadEvent& event, Effects& effects);
  /// Stores the clock token and load that a sidecar sent with task updates.
  void RecordLoad(const InstanceName& name,
                  wire::ClockToken token,
                  const wire::Load& load);

  /// Sends the probes that are due, updates whether this instance is a voter,
  /// and detects that the process was paused.
  void Tick(Instant now, Effects& effects);
  /// Makes all probes due at the next Tick(), to spread new epochs or to renew
  /// the quorum evidence.
  void ProbeAllSoon() { probe_all_ = true; }
  /// Announces in all further probes that this instance is about to leave.
  void AnnounceStop();
  /// Returns when Tick() is due next.
  Instant NextWakeup() const;

  /// Raises an epoch by a decision of this instance, and makes all probes due.
  void RaiseEpoch(wire::ShardId shard, const wire::Epoch& epoch);
  /// Stores an epoch from an offer or a request of another instance, if higher.
  void LearnEpoch(wire::ShardId shard, const wire::Epoch& epoch);

  /// True when the summaries of this instance count towards a quorum.
  bool is_voter() const { return gate_.open(); }
  /// True when a quorum has reported, no longer ago than the evidence age, that
  /// it has applied no more records than this instance.
  bool HasQuorumEvidence(Instant now) const;
  /// Returns until when the quorum evidence is valid if no further message
  /// arrives. Takes account of all summaries received so far.
  Instant QuorumEvidenceUntil() const;
  /// True when a quorum has applied `offset` records.
  bool QuorumHasApplied(wire::LogOffset offset) const;
  /// True when a quorum has applied `offset` records and knows every override
  /// of this instance: each epoch that is higher than in the control state.
  bool QuorumHasState(wire::LogOffset offset) const;
  /// True when a quorum knows this epoch of the shard or a higher one.
  bool QuorumKnowsEpoch(const wire::ShardEpoch& epoch) const;

  /// Returns the view of another instance of the region; null when it isn't
  /// registered.
  const PeerView* FindView(const InstanceName& name) const;
  /// Views of all other instances of the region, by name.
  const std::map<InstanceName, PeerView>& views() const { return views_; }
  /// The control state with the epochs known beyond it.
  const ControlReplica& replica() const { return replica_; }
  /// The replicated control state.
  const ControlState& control() const { return replica_.control(); }
  /// Settings of the instance.
  const NodeSettings& settings() const { return settings_; }
  /// When this incarnation started.
  Instant started_at() const { return started_at_; }
  /// When this process last resumed after an involuntary pause; its start
  /// before the first. The silence of others before that time proves nothing.
  Instant resumed_at() const { return resumed_at_; }
  /// Digest of the state.
  uint64_t Hash() const;

 private:
  bool IsPeer(const wire::InstanceInfo& info) const;
  void ApplyRecord(const wire::ControlRecord& record);
  void InstallState(std::string_view state);
  void SyncViews();
  void SendProbe(Instant now, const InstanceName& name, Effects& effects);
  void RequestMissingRecords(Instant now,
                             const InstanceName& from,
                             wire::LogOffset offset,
                             Effects& effects);
  std::span<const MemberSet> MemberSets() const;
  wire::ClockToken RenewalToken(Instant now, const InstanceName& name) const;

  NodeSettings settings_;
  MemberHooks hooks_;
  Instant started_at_;
  Instant resumed_at_;
  Instant last_tick_at_;
  bool probe_all_ = true;
  bool stopping_ = false;
  /// When missing records were last requested.
  Instant records_requested_at_ = Instant::min();
  ControlReplica replica_;
  QuorumEvidence evidence_;
  VoterGate gate_;
  std::map<InstanceName, PeerView> views_;
  /// Offset after the last applied TakeShards record that names each shard.
  /// Empty after a state was installed or a region was reset; a shard has no
  /// entry after RaiseEpoch() either.
  std::map<wire::ShardId, wire::LogOffset> epoch_offsets_;
  /// Cached result of QuorumEvidenceUntil().
  mutable Instant evidence_until_ = Instant::min();
  /// The control state changed, and the member sets may have; the cached result
  /// must not be used.
  mutable bool evidence_invalid_ = true;
  /// Summaries arrived since the cached result was computed, or this instance
  /// wasn't a voter at the last tick. The result may be used until it expires;
  /// computing it again may extend it, or end it if a summary reports more
  /// records than this instance has applied.
  mutable bool evidence_extendable_ = true;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_MEMBER_H_

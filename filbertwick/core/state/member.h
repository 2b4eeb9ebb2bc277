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

/// What a Member tells the core around it.
struct MemberHooks {
  /// A record was folded at `offset`.
  std::function<void(wire::LogOffset offset,
                     const wire::ControlRecord& record,
                     const ApplyResult& result)>
      applied;
  /// A whole state was taken over; anything may have changed.
  std::function<void()> state_installed;
  /// An instance is heard under a new incarnation: the one before is gone.
  std::function<void(const InstanceName& name)> replaced;
  /// An epoch was raised by what another instance said.
  std::function<void()> epoch_raised;
  /// A sidecar told its load.
  std::function<void(const InstanceName& name, const wire::Load& load)> load;
  /// Load to tell others; unset for entries.
  std::function<wire::Load()> own_load;
};

/// The part of one instance in its region: what it knows, what it vouches for
/// and what others vouched for. Sends and answers probes and passes control
/// records on. Used alike by entries and sidecars.
class Member {
 public:
  /// A member that knows nothing yet and starts at `now`.
  Member(const NodeSettings& settings, MemberHooks hooks, Instant now);

  /// Drops a message of a replaced incarnation: false. Otherwise notes that
  /// the sender is alive.
  bool AcceptSender(Instant now, const wire::Sender& from);
  void OnProbe(Instant now,
               const wire::Sender& from,
               const wire::Probe& probe,
               Effects& effects);
  void OnProbeReply(Instant now,
                    const wire::Sender& from,
                    const wire::ProbeReply& reply,
                    Effects& effects);
  void OnRecordsRequest(const wire::Sender& from,
                        const wire::RecordsRequest& request,
                        Effects& effects);
  void OnRecords(const wire::Records& records);
  void OnSnapshot(const wire::Snapshot& snapshot);
  void OnLogRead(const LogReadEvent& event, Effects& effects);
  /// Token and load that came with a work message.
  void RecordLoad(const InstanceName& name,
                  wire::ClockToken token,
                  const wire::Load& load);

  /// Sends the probes that are due.
  void Tick(Instant now, Effects& effects);
  /// Makes every probe due now, to carry news or to refresh evidence.
  void ProbeAllSoon() { probe_all_ = true; }
  /// Tells others that this instance is about to leave.
  void AnnounceStop();
  /// When Tick() is due.
  Instant NextWakeup() const;

  /// Raises an epoch by this instance's own decision.
  void RaiseEpoch(wire::ShardId shard, const wire::Epoch& epoch);
  /// Learns of an epoch from a work message.
  void LearnEpoch(wire::ShardId shard, const wire::Epoch& epoch);

  /// True when this instance may be counted by others.
  bool is_voter() const { return gate_.open(); }
  /// True when more than half of the members of record told, within the
  /// evidence age, that they know nothing newer.
  bool HasQuorumEvidence(Instant now) const;
  /// Until when HasQuorumEvidence() stays true without any further message.
  Instant QuorumEvidenceUntil() const;
  /// True when more than half of the members folded `offset` records.
  bool QuorumHasApplied(wire::LogOffset offset) const;
  /// True when more than half of the members folded `offset` records and know
  /// every epoch that this instance knows.
  bool QuorumHasState(wire::LogOffset offset) const;
  /// True when more than half of the members know an epoch of a shard.
  bool QuorumKnowsEpoch(const wire::ShardEpoch& epoch) const;

  /// The present view of an instance; null when it is not on record.
  const PeerView* FindView(const InstanceName& name) const;
  /// All views, by name.
  const std::map<InstanceName, PeerView>& views() const { return views_; }
  /// What is known.
  const ControlReplica& replica() const { return replica_; }
  /// The fold.
  const ControlState& control() const { return replica_.control(); }
  /// Settings of the instance.
  const NodeSettings& settings() const { return settings_; }
  /// When the instance started.
  Instant started_at() const { return started_at_; }
  /// When this process last ran again after a pause it did not choose.
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
  /// When records were last asked for.
  Instant records_requested_at_ = Instant::min();
  ControlReplica replica_;
  QuorumEvidence evidence_;
  VoterGate gate_;
  std::map<InstanceName, PeerView> views_;
  /// Offset after the record that raised each shard's epoch.
  std::map<wire::ShardId, wire::LogOffset> epoch_offsets_;
  /// Cached answer of HasQuorumEvidence(), valid until then.
  mutable Instant evidence_until_ = Instant::min();
  mutable bool evidence_invalid_ = true;
  /// Statements came that may make the cached answer last longer.
  mutable bool evidence_extendable_ = true;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_MEMBER_H_

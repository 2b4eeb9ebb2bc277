#ifndef FILBERTWICK_CORE_ENTRY_MEMBERSHIP_CONTROLLER_H_
#define FILBERTWICK_CORE_ENTRY_MEMBERSHIP_CONTROLLER_H_

#include <cstdint>
#include <map>
#include <optional>

#include "filbertwick/core/effect.h"
#include "filbertwick/core/event.h"
#include "filbertwick/core/state/control_log_writer.h"
#include "filbertwick/core/state/member.h"

namespace filbertwick::core {

/// Maintains the membership of the region in the control log.
///
/// Decisions in a region need a majority of its member set. While the
/// membership changes, they need majorities of the old and of the new set,
/// until a SettleMembers record drops the old set. A restarted instance has no
/// vote until it has heard from a majority of voters; when a majority has lost
/// its vote, a ResetRegion record starts a new generation, in which the
/// reachable instances have a vote at once. LeaveInstance removes a silent
/// instance, and Checkpoint stores the whole control state. Every entry may
/// append these records. All entries use the same change id to settle a
/// membership change or to remove an instance, and a change id applies only
/// once; otherwise the order in the log decides which record applies.
class MembershipController {
 public:
  /// Keeps references to `member` and `log_writer`, which must outlive the
  /// controller.
  MembershipController(const Member& member, ControlLogWriter& log_writer);

  /// Records a read of the control log. `caught_up` is true when all records up
  /// to its head are applied.
  void OnLogRead(Instant now, bool caught_up);
  /// Appends the records that are due.
  void Tick(const Now& now, Effects& effects);

 private:
  /// Starts a new generation if there is none, if the bundle requests one or if
  /// a majority has lost its vote.
  void FormGeneration(const Now& now, Effects& effects);
  /// True when more than half of the newest member set are reachable instances
  /// without a vote.
  bool MajorityCannotVote(Instant now, const RegionState& region) const;
  /// This instance and all instances that were heard recently, by name.
  std::vector<wire::ResetMember> ReachableMembers(Instant now) const;
  /// Appends SettleMembers for the oldest membership change, which drops the
  /// old member set. Before that, a quorum must have known the change and every
  /// epoch known here for twice the evidence age plus a margin for clock rates,
  /// so that evidence that counts only the old set has expired.
  void SettleStep(const Now& now, Effects& effects);
  /// Removes instances that have been silent for
  /// TimingSettings::removal_silence.
  void RemoveSilentInstances(const Now& now, Effects& effects);
  void WriteCheckpoint(const Now& now, Effects& effects);
  /// Delay that differs between the entries of the region, so that usually only
  /// one of them appends a record.
  Duration StaggerDelay() const;
  /// True when the instance was heard within twice the evidence age.
  bool HeardRecently(Instant now, const PeerView& view) const;

  const Member& member_;
  ControlLogWriter& log_writer_;
  /// When all records of the control log were last known to be applied.
  Instant caught_up_at_ = Instant::min();
  /// Since when a new generation has been needed.
  std::optional<Instant> generation_needed_since_;
  /// The active generation at that time; 0 if there was none.
  uint32_t generation_needed_after_ = 0;
  /// Since when Member::QuorumHasState() has held for the membership change to
  /// be settled.
  std::optional<Instant> quorum_since_;
  /// Offset of the record of that membership change.
  wire::LogOffset quorum_step_ = 0;
  /// The latest checkpoint. The next one waits until it is read back.
  ChangeId last_checkpoint_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_MEMBERSHIP_CONTROLLER_H_

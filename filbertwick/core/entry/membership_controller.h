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

/// Keeps the record of who is a member: forms a generation when none can hold
/// a majority, settles steps of membership, takes silent instances off the
/// record and writes checkpoints. Every entry does it; the stream's order and
/// common change ids let one of them win.
class MembershipController {
 public:
  /// A registrar over `member` and `recorder`, which must outlive it.
  MembershipController(const Member& member, ControlLogWriter& log_writer);

  /// The head of the stream was read; `caught_up` when all of it is folded.
  void OnLogRead(Instant now, bool caught_up);
  /// Looks at everything.
  void Tick(const Now& now, Effects& effects);

 private:
  void FormGeneration(const Now& now, Effects& effects);
  bool MajorityCannotVouch(Instant now, const RegionState& region) const;
  std::vector<wire::ResetMember> ReachableMembers(Instant now) const;
  void SettleStep(const Now& now, Effects& effects);
  void RemoveSilentInstances(const Now& now, Effects& effects);
  void WriteCheckpoint(const Now& now, Effects& effects);
  Duration StaggerDelay() const;
  bool HeardRecently(Instant now, const PeerView& view) const;

  const Member& member_;
  ControlLogWriter& log_writer_;
  /// When the stream was last known to be folded to its head.
  Instant caught_up_at_ = Instant::min();
  /// Since when a new generation has been needed.
  std::optional<Instant> generation_needed_since_;
  /// The generation that was in force then.
  uint32_t generation_needed_after_ = 0;
  /// Since when the step to be settled has been carried.
  std::optional<Instant> carried_since_;
  wire::LogOffset carried_step_ = 0;
  /// The checkpoint written last; the next waits until it is read back.
  ChangeId last_checkpoint_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_MEMBERSHIP_CONTROLLER_H_

#ifndef FILBERTWICK_CORE_ENTRY_HANDOVER_H_
#define FILBERTWICK_CORE_ENTRY_HANDOVER_H_

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "filbertwick/core/effect.h"
#include "filbertwick/core/entry/entry_context.h"
#include "filbertwick/core/entry/job_intake.h"
#include "filbertwick/core/entry/job_runner.h"
#include "filbertwick/core/event.h"

namespace filbertwick::core {

/// Gives shards with their jobs to other entries without a gap: all of them
/// when this entry stops or its zone is out, some when it has more than its
/// share. Takes what others give.
class HandoverController {
 public:
  /// A controller over `context`, `intake` and `runner`, which must outlive it.
  HandoverController(EntryContext& context,
                     JobIntake& intake,
                     JobRunner& runner);

  /// From now on gives everything away.
  void HandOverAll() { hand_over_all_ = true; }
  /// Another entry gives shards. Returns the ones that were taken now.
  std::vector<wire::ShardEpoch> OnHandover(const Now& now,
                                           const wire::Sender& from,
                                           const wire::Handover& handover,
                                           Effects& effects);
  /// The successor has what was sent.
  void OnHandoverDone(const wire::Sender& from, const wire::HandoverDone& done);

  /// Gives what is due and repeats what was not confirmed.
  void Tick(const Now& now, Effects& effects);
  /// When Tick() is due.
  Instant NextWakeup() const;
  /// True when nothing that was given waits for confirmation.
  bool idle() const { return unconfirmed_.empty(); }
  /// True when some entry could take shards over.
  bool HasSuccessor(Instant now) const {
    return !EligibleSuccessors(now).empty();
  }

 private:
  /// A handover that is not confirmed yet.
  struct PendingHandover {
    wire::Handover message;
    Instant resend_at;
    int sends = 1;
  };

  std::vector<InstanceName> EligibleSuccessors(Instant now) const;
  bool OwnZoneIsOut() const;
  void HandOverServedShards(const Now& now, Effects& effects);
  void BalanceShards(const Now& now, Effects& effects);
  void HandOver(const Now& now,
                const InstanceName& to,
                std::span<const wire::ShardId> shards,
                Effects& effects);
  void ResendUnconfirmed(const Now& now, Effects& effects);

  EntryContext& context_;
  JobIntake& intake_;
  JobRunner& runner_;
  std::multimap<InstanceName, PendingHandover> unconfirmed_;
  bool hand_over_all_ = false;
  Instant next_balance_at_ = Instant::min();
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_HANDOVER_H_

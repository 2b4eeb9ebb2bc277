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

/// Transfers shards and their jobs between entries without the fence wait of a
/// takeover (see Ownership).
///
/// The sender stops serving the shards, raises their epochs with the successor
/// as owner and sends one Handover with the jobs it knows. It repeats the
/// message until the successor confirms with HandoverDone, and abandons it
/// after a fixed number of sends. An entry hands over all served shards when it
/// stops or when its zone is out, and some of them when another entry owns at
/// least two fewer.
class HandoverController {
 public:
  /// Keeps references to `context`, `intake` and `runner`, which must outlive
  /// the controller.
  HandoverController(EntryContext& context,
                     JobIntake& intake,
                     JobRunner& runner);

  /// From now on Tick() hands over every served shard, and shards offered by
  /// other entries are not accepted.
  void HandOverAll() { hand_over_all_ = true; }
  /// Accepts shards and jobs from another entry and confirms them. Returns the
  /// shards that this message transferred, and an empty list when this entry is
  /// stopping or the message was meant for another incarnation.
  std::vector<wire::ShardEpoch> OnHandover(const Now& now,
                                           const wire::Sender& from,
                                           const wire::Handover& handover,
                                           Effects& effects);
  /// The successor confirmed a handover, which is not repeated any more.
  void OnHandoverDone(const wire::Sender& from, const wire::HandoverDone& done);

  /// Starts the handovers that are due and repeats unconfirmed ones.
  void Tick(const Now& now, Effects& effects);
  /// When the next unconfirmed handover is repeated; Instant::max() for none.
  Instant NextWakeup() const;
  /// True when every handover was confirmed or abandoned.
  bool idle() const { return unconfirmed_.empty(); }
  /// True when at least one entry can accept shards.
  bool HasSuccessor(Instant now) const {
    return !EligibleSuccessors(now).empty();
  }

 private:
  /// A handover that the successor has not confirmed yet.
  struct PendingHandover {
    wire::Handover message;
    Instant resend_at;
    /// How often the message was sent.
    int sends = 1;
  };

  /// Entries that can accept shards: members of the oldest member set in force
  /// that were heard within the last three probe intervals, are voters and not
  /// stopping, and whose zone is not out.
  std::vector<InstanceName> EligibleSuccessors(Instant now) const;
  bool OwnZoneIsOut() const;
  void HandOverServedShards(const Now& now, Effects& effects);
  /// Hands up to half of the difference over to the entry that owns the fewest
  /// shards, if it owns at least two fewer than this entry.
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

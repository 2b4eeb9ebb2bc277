#ifndef FILBERTWICK_CORE_DIRECT_SIDECAR_VIEW_H_
#define FILBERTWICK_CORE_DIRECT_SIDECAR_VIEW_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/message.h"

namespace filbertwick::core::direct {

/// An offer whose answer is outstanding.
struct OpenOffer {
  Offer offer;
  /// When it is sent again.
  Instant resend_due;
};

/// What an entry knows of a sidecar and has open there.
struct SidecarView {
  InstanceName name;
  /// 0 until it was heard.
  uint64_t incarnation = 0;
  /// Newest reading of its clock.
  ClockReading clock = 0;
  Instant last_heard;
  /// When the first message was sent that it has not answered; the end of time
  /// when all are answered.
  Instant unanswered_since = Instant::max();
  bool accepts_tasks = false;
  UpstreamProfile upstream;
  /// Room it reported, less what is offered since.
  Room free;
  /// Highest end of the session taken note of.
  uint64_t ends_taken = 0;
  std::map<uint64_t, OpenOffer> offers;
  /// Runs taken there and not ended; with their sending job's numbers.
  std::set<TaskRun> runs;
  /// Runs to be stopped, until their end is told, with the next sending.
  std::map<TaskRun, Instant> stops;
  /// What was open there in an earlier life of the sidecar: gone for certain
  /// once the present life has taken over the upstream.
  std::set<TaskRun> unconfirmed_runs;
  /// A message is due with the present effects.
  bool send_due = false;
  /// That message asks for an answer.
  bool wants_reply = false;
  /// Run time beside the estimate, smoothed.
  double run_time_ratio = 1;
  /// Bad ends in a row.
  uint32_t consecutive_failures = 0;
  /// It gets only what fits nowhere else until then.
  Instant avoid_until;
  Instant heartbeat_due;
  /// Ends wait to be taken note of; the end of time when none do.
  Instant ack_due = Instant::max();

  /// It gets only what fits nowhere else.
  bool ShouldAvoid(Instant now) const {
    return now < avoid_until || (IsOnProbation() && IsBusy());
  }
  /// It failed and has not shown since that it is sound.
  bool IsOnProbation() const { return avoid_until != Instant(); }

  /// Takes out every run that is offered, taken, in limbo or to be stopped; the
  /// stops stay.
  std::set<TaskRun> TakeUnfinishedRuns();

  /// Something of this entry is open there.
  bool IsBusy() const {
    return !offers.empty() || !runs.empty() || !stops.empty() ||
           !unconfirmed_runs.empty();
  }
};

/// Learns from the end of a run how fast and how sound the upstream is.
/// `estimate` is the task's rough run time.
void RecordRunEnd(Instant now,
                  const RunEnd& end,
                  Duration estimate,
                  SidecarView& view);

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_SIDECAR_VIEW_H_

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
  Instant heard;
  /// When the first message was sent that it has not answered; the end of time
  /// when all are answered.
  Instant asked = Instant::max();
  bool open = false;
  UpstreamProfile upstream;
  /// Room it reported, less what is offered since.
  Resources free;
  /// Highest end of the session taken note of.
  uint64_t acknowledged_end = 0;
  std::map<uint64_t, OpenOffer> offers;
  /// Runs taken there and not ended; with their sending job's numbers.
  std::set<TaskRun> runs;
  /// Runs to be stopped, until their end is told, with the next sending.
  std::map<TaskRun, Instant> stops;
  /// What was open there in an earlier life of the sidecar: gone for certain
  /// once the present life has taken over the upstream.
  std::set<TaskRun> limbo;
  /// A message is due with the present effects.
  bool send_due = false;
  /// That message asks for an answer.
  bool wants_reply = false;
  /// Run time beside the estimate, smoothed.
  double slowness = 1;
  /// Bad ends in a row.
  uint32_t bad_ends = 0;
  /// It gets only what fits nowhere else until then.
  Instant suspect_until;
  Instant beat_due;
  /// Ends wait to be taken note of; the end of time when none do.
  Instant ack_due = Instant::max();

  /// It gets only what fits nowhere else.
  bool IsSuspect(Instant now) const {
    return now < suspect_until || (IsOnTrial() && IsBusy());
  }
  /// It failed and has not shown since that it is sound.
  bool IsOnTrial() const { return suspect_until != Instant(); }

  /// Takes out every run that is offered, taken, in limbo or to be stopped; the
  /// stops stay.
  std::set<TaskRun> TakeOpenRuns();

  /// Something of this entry is open there.
  bool IsBusy() const {
    return !offers.empty() || !runs.empty() || !stops.empty() || !limbo.empty();
  }
};

/// Learns from the end of a run how fast and how sound the upstream is.
/// `estimate` is the task's rough run time.
void LearnFromEnd(Instant now,
                  const RunEnd& end,
                  Duration estimate,
                  SidecarView& view);

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_SIDECAR_VIEW_H_

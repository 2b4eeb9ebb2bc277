#ifndef FILBERTWICK_CORE_DIRECT_DIRECT_SETTINGS_H_
#define FILBERTWICK_CORE_DIRECT_DIRECT_SETTINGS_H_

#include "filbertwick/base/time.h"

namespace filbertwick::core::direct {

/// Times that keep two runs of one task apart. What is left of a dead entry's
/// job is gone after orphan_after + stop_patience + lease, which must stay
/// below the time after which a caller sends a job again.
struct SessionTimes {
  /// A sidecar stops the tasks of an entry that it has not heard for this long.
  /// About three lost beats.
  Duration orphan_after = std::chrono::milliseconds(400);
  /// A stop not confirmed for this long makes the sidecar let its lease lapse.
  /// Time for four tries.
  Duration stop_patience = std::chrono::milliseconds(240);
  /// Time that everything at the upstream may run on unattended.
  Duration lease = std::chrono::milliseconds(400);
  /// An offer whose clock reading is older is not taken; a few round trips and
  /// a beat.
  Duration offer_valid = std::chrono::milliseconds(150);

  /// The times scaled to fit `resend`, the time after which a caller sends a
  /// job again, and `longest_lease`, the most an upstream grants.
  static SessionTimes ScaledToFit(Duration resend, Duration longest_lease);

  /// Time after which nothing of an orphaned job runs any more.
  Duration Bound() const;
};

/// Settings of a sidecar's DirectSidecar.
struct DirectSidecarSettings {
  SessionTimes times;
  /// An order without an answer for this long is given up; a local call takes
  /// about a millisecond.
  Duration order_timeout = std::chrono::milliseconds(30);
  /// Longest wait of one listing at the upstream. A listing that gets no answer
  /// hides all ends for as long, so it is about the time between two ends at a
  /// busy upstream: longer saves no calls there.
  Duration listing_wait = std::chrono::milliseconds(30);
  /// Added to listing_wait until the call is given up; as order_timeout.
  Duration listing_slack = std::chrono::milliseconds(30);
  /// Pause after a failed call; keeps a dead upstream from taking the
  /// processor.
  Duration retry_pause = std::chrono::milliseconds(20);
  /// An end not taken note of is told again after this; a few round trips.
  Duration resend_after = std::chrono::milliseconds(40);
  /// A running task whose progress stands still for this long is stopped; three
  /// listings without any progress at the least.
  Duration hang_after = std::chrono::milliseconds(150);
  /// The same as a part of the task's estimate: progress is told in hundredths,
  /// and a slow upstream may take eight times as long.
  double hang_share = 0.25;
};

/// Settings of an entry's DirectEntry.
struct DirectEntrySettings {
  SessionTimes times;
  /// Longest pause between two messages to a sidecar with work of this entry;
  /// three fit into orphan_after.
  Duration beat = std::chrono::milliseconds(100);
  /// Messages a second that beats to idle sidecars may take; a hundredth of a
  /// small core.
  uint32_t idle_beats_per_second = 120;
  /// An offer or stop without an answer is sent again after this; a few round
  /// trips.
  Duration resend_after = std::chrono::milliseconds(30);
  /// A sidecar that owes an answer for this long gets no offers; several round
  /// trips and a slow wake-up.
  Duration silent_after = std::chrono::milliseconds(200);
  /// Least part of its target that a job may wait for room, however little its
  /// run time leaves: places fall free within a short task's run time.
  double least_wait_share = 0.25;
  /// Waiting jobs; more are refused. Bounds memory and the walk of a pass.
  size_t max_waiting = 512;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_DIRECT_SETTINGS_H_

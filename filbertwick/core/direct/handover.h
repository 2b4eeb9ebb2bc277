#ifndef FILBERTWICK_CORE_DIRECT_HANDOVER_H_
#define FILBERTWICK_CORE_DIRECT_HANDOVER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "filbertwick/core/direct/entry_load.h"
#include "filbertwick/core/direct/job_request.h"
#include "filbertwick/core/direct/message.h"
#include "filbertwick/wire/archive.h"

namespace filbertwick::core::direct {

// Handover protocol between two entries. An overloaded entry, the origin, hands
// a job of which no task was ever offered to another one, the target, which
// runs it and returns the outcome. The origin keeps the caller's connection.
//
// Both directions use one message. Every message carries a reading of the
// sender's clock and echoes the newest reading of the receiver's. The newest
// reading that the origin has echoed is a time at which it was alive, however
// long the echo was on its way; a target runs the origin's jobs only as long as
// this reading is at most HandoverSettings::lease old. Messages may be lost,
// duplicated, delayed or reordered: handovers are resent until they are
// answered, results until they are acknowledged, and every message carries all
// unconfirmed withdrawals, so that no echo renews the lease of a withdrawn job.

/// A job that the origin hands over.
struct HandedJob {
  /// Counted by the origin for each target; higher for later handovers, never
  /// used twice.
  uint64_t number = 0;
  /// Version of the configuration under which the origin has read the job.
  uint64_t configuration = 0;
  /// JobRequest::time_limit is the time left to the caller.
  JobRequest job;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, configuration, job);
  }
};

/// How a handover ended.
enum class HandoverEnd : uint8_t {
  /// The job has an outcome.
  kAnswered,
  /// The target did not take the job.
  kDeclined,
  /// The target has dropped the job, and nothing of it has run or will.
  kNotRun,
  /// The target has dropped the job; something of it may have run.
  kDropped,
};

/// The end of a handover. Sent until it is acknowledged.
struct HandoverResult {
  uint64_t number = 0;
  HandoverEnd end = HandoverEnd::kDropped;
  /// For HandoverEnd::kAnswered.
  JobOutcome outcome = JobOutcome::kTimedOut;
  /// Cause of the outcome or of the end, as one identifier.
  std::string cause;
  /// Seconds; for JobOutcome::kRefused.
  uint32_t retry_after = 0;
  /// The target has used no run number of the job from this one on.
  uint64_t next_run = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, end, outcome, cause, retry_after, next_run);
  }
};

/// Message between two entries, each of which may be the origin of some jobs
/// and the target of others.
struct HandoverMessage {
  Peer from;
  uint64_t to_incarnation = 0;
  /// The sender's clock when the message was sent.
  ClockReading clock = 0;
  /// Newest reading of the receiver's clock that has arrived at the sender; 0
  /// when there is none.
  ClockReading echoed_clock = 0;
  EntryLoad load;
  /// Requests a message in reply.
  bool wants_reply = false;

  // From the origin.
  /// Every handover with a lower number has ended for the origin.
  uint64_t first_open = 0;
  std::vector<HandedJob> handovers;
  /// Numbers of the handovers that the origin takes back.
  std::vector<uint64_t> withdrawals;
  /// Numbers of the results that have arrived.
  std::vector<uint64_t> acknowledged;

  // From the target.
  /// Numbers of the handovers that the target has taken.
  std::vector<uint64_t> accepted;
  std::vector<HandoverResult> results;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, to_incarnation, clock, echoed_clock, load, wants_reply,
            first_open, handovers, withdrawals, acknowledged, accepted,
            results);
  }
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_HANDOVER_H_

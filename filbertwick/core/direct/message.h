#ifndef FILBERTWICK_CORE_DIRECT_MESSAGE_H_
#define FILBERTWICK_CORE_DIRECT_MESSAGE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/core/direct/claim.h"
#include "filbertwick/core/direct/resources.h"
#include "filbertwick/wire/archive.h"

namespace filbertwick::core::direct {

// Session protocol between entries and sidecars. An entry offers tasks and asks
// for stops in EntryMessages; a sidecar replies to each offer and reports the
// end of each run in SidecarMessages. Messages may be lost, duplicated or
// reordered, so offers and stops are resent until they are answered, and ends
// until they are acknowledged. A session belongs to one incarnation of the
// entry and one of the sidecar. Every SidecarMessage carries a reading of the
// sidecar's clock, which the entry echoes. The newest echoed reading is a time
// at which the entry was alive, however long the message was on its way; when
// it is older than SessionTimes::session_timeout, the sidecar stops the entry's
// runs.

/// A reading of the sidecar's clock, in microseconds; 0 when there is none.
/// Only the sidecar that issued it compares it with other times.
using ClockReading = int64_t;

/// An instance and its incarnation, that is, one process.
struct Peer {
  InstanceName name;
  /// Higher after every restart, unless the wall clock has jumped back.
  uint64_t incarnation = 0;

  friend auto operator<=>(const Peer&, const Peer&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation);
  }
};

/// Identifies one attempt to run a task.
struct TaskRun {
  /// Name of the task, unique over all jobs.
  std::string task;
  /// Number of the run; higher for every later run of the task, whichever entry
  /// starts it.
  uint64_t run = 0;

  friend auto operator<=>(const TaskRun&, const TaskRun&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(task, run);
  }
};

/// How far an instance has followed the control stream.
struct ControlPosition {
  /// Version of the configuration; 0 before the first.
  uint64_t version = 0;
  /// Offset after the newest control record applied.
  uint64_t offset = 0;

  friend bool operator==(const ControlPosition&,
                         const ControlPosition&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, offset);
  }
};

/// A task that an entry asks a sidecar to start.
struct OfferedTask {
  TaskRun run;
  Resources needs;
  /// Estimated run time, in microseconds.
  int64_t estimate_micros = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(run, needs, estimate_micros);
  }
};

/// Tasks of one job that an entry offers to one sidecar.
struct Offer {
  /// Unique within the entry's incarnation.
  uint64_t id = 0;
  /// Task description that the upstream gets with each start.
  std::string spec;
  /// The service to which the job's route leads.
  std::string service;
  /// See JobRequest::queue.
  std::string queue;
  std::vector<OfferedTask> tasks;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, spec, service, queue, tasks);
  }
};

/// Message from an entry to a sidecar. The clock reading that it echoes keeps
/// the session alive.
struct EntryMessage {
  Peer from;
  /// Incarnation of the receiving sidecar; 0 when the entry does not know it.
  uint64_t to_incarnation = 0;
  /// Send time in microseconds on the entry's clock; the sidecar echoes the
  /// newest one.
  int64_t sent_at = 0;
  /// Newest clock reading that the entry has received from the sidecar.
  ClockReading echoed_clock = 0;
  /// Acknowledges the ends up to this number.
  uint64_t acknowledged_end = 0;
  ControlPosition control;
  /// First waiting tasks of the entry, in its order; at most kMaxClaims.
  /// Without load sharing a single claim that matches everything while jobs
  /// wait. Empty when the entry wants no capacity here.
  std::vector<Claim> claims;
  /// Requests a SidecarMessage in reply.
  bool wants_reply = false;
  std::vector<Offer> offers;
  std::vector<TaskRun> stops;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, to_incarnation, sent_at, echoed_clock, acknowledged_end,
            control, claims, wants_reply, offers, stops);
  }
};

/// Why a sidecar did not take an offered task.
enum class Refusal : uint8_t {
  /// Accepted.
  kNone,
  /// The upstream has not enough free capacity now.
  kNoCapacity,
  /// The echoed clock reading is too old; the reply carries a fresh one.
  kStale,
  /// The task can't start here: the upstream is missing, draining, not ready or
  /// of another service, the configuration or the state of the zone allows no
  /// tasks, or the sidecar is shutting down.
  kNotAccepting,
  /// Another run of the task still holds resources here.
  kOtherRun,
  /// A stop of the run arrived before its offer.
  kStopped,
};

/// The sidecar's reply to an offer.
struct OfferReply {
  uint64_t id = 0;
  /// One value for each task of the offer, in the same order.
  std::vector<Refusal> refusals;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, refusals);
  }
};

/// How a run ended.
enum class EndKind : uint8_t {
  kDone,
  /// The task failed, through its own fault or the upstream's.
  kFailed,
  /// Stopped by the sidecar: the entry required it, or the task made no
  /// progress or its start was not answered.
  kStopped,
  /// The run certainly never started.
  kNotStarted,
  /// Killed with its upstream or at the end of the lease, or gone from the
  /// upstream's listings without a reported end.
  kLost,
  /// The upstream crashed while the run was there.
  kCrashed,
};

/// The end of a run, numbered within the session.
struct RunEnd {
  uint64_t number = 0;
  TaskRun run;
  EndKind kind = EndKind::kDone;
  /// Microseconds from the start command until the end was detected.
  int64_t duration_micros = 0;
  /// For kCrashed, when the run was started shortly before the crash: how many
  /// runs were, this one included. 0 otherwise.
  uint32_t crash_suspects = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, run, kind, duration_micros, crash_suspects);
  }
};

/// Properties of the upstream that its sidecar reports.
struct UpstreamProfile {
  std::string service;
  ZoneName zone;
  /// Machine kind and rack of the upstream.
  std::vector<std::string> labels;
  Resources capacity;

  friend bool operator==(const UpstreamProfile&,
                         const UpstreamProfile&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, zone, labels, capacity);
  }
};

/// A task that was started shortly before its upstream crashed.
struct CrashSuspect {
  std::string task;
  /// See JobRequest::queue.
  std::string queue;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(task, queue);
  }
};

/// Tells all entries of a crash of the upstream, before the runs there are
/// certainly over.
struct CrashNotice {
  /// Counts the crashes that this incarnation of the sidecar has seen; 0 when
  /// there was none lately.
  uint64_t number = 0;
  /// Microseconds since the crash.
  int64_t age_micros = 0;
  std::vector<CrashSuspect> suspects;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, age_micros, suspects);
  }
};

/// Message from a sidecar to an entry.
struct SidecarMessage {
  Peer from;
  /// Incarnation of the entry to which the session belongs.
  uint64_t to_incarnation = 0;
  /// Newest EntryMessage::sent_at that has arrived. A delayed message of an
  /// earlier incarnation of the sidecar carries an old value.
  int64_t echoed_sent_at = 0;
  ClockReading clock = 0;
  ControlPosition control;
  /// New tasks may start here.
  bool accepts_tasks = false;
  UpstreamProfile upstream;
  /// What the entry may use: free resources that are not reserved for others.
  Resources free;
  /// A part of `free` is reserved for the entry, which is to answer at once:
  /// with offers, or without when it has no use for the capacity.
  bool granted = false;
  std::vector<OfferReply> replies;
  /// Unacknowledged ends, by ascending number.
  std::vector<RunEnd> ends;
  CrashNotice crash;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, to_incarnation, echoed_sent_at, clock, control, accepts_tasks,
            upstream, free, granted, replies, ends, crash);
  }
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_MESSAGE_H_

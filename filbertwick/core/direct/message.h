#ifndef FILBERTWICK_CORE_DIRECT_MESSAGE_H_
#define FILBERTWICK_CORE_DIRECT_MESSAGE_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/core/direct/resources.h"
#include "filbertwick/wire/archive.h"

namespace filbertwick::core::direct {

/// A reading of the sidecar's clock, in microseconds; 0 when there is none.
/// Only the sidecar that issued it compares it with anything.
using ClockReading = int64_t;

/// One process of the system and which of its lives.
struct Peer {
  InstanceName name;
  /// Higher in every later life.
  uint64_t incarnation = 0;

  friend auto operator<=>(const Peer&, const Peer&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation);
  }
};

/// One start of a task.
struct TaskRun {
  /// Unique over all jobs.
  std::string task;
  /// Rises with every start of the task, whichever entry asks for it.
  uint64_t run = 0;

  friend auto operator<=>(const TaskRun&, const TaskRun&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(task, run);
  }
};

/// How far the sender has followed the control stream.
struct ControlPosition {
  /// Version of the configuration; 0 before the first.
  uint64_t version = 0;
  /// Offset after the newest control record taken in.
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
  /// Rough run time, in microseconds.
  int64_t estimate_micros = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(run, needs, estimate_micros);
  }
};

/// Tasks of one job for one sidecar.
struct Offer {
  /// Unique within the entry's incarnation.
  uint64_t id = 0;
  /// Text handed to the upstream with each task.
  std::string spec;
  /// The service the job's route leads to.
  std::string service;
  std::vector<OfferedTask> tasks;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, spec, service, tasks);
  }
};

/// From an entry to a sidecar; every one of them keeps the session alive.
struct EntryMessage {
  Peer from;
  /// Incarnation the message is meant for; 0 when the entry knows none.
  uint64_t to_incarnation = 0;
  /// Microseconds on the entry's clock; the sidecar hands back the newest.
  int64_t sent = 0;
  /// The sidecar's newest reading that the entry has received.
  ClockReading echoed = 0;
  /// Ends up to this number were taken note of.
  uint64_t acknowledged_end = 0;
  ControlPosition control;
  /// Jobs wait at the entry for room.
  bool waiting = false;
  /// The entry wants an answer.
  bool wants_reply = false;
  std::vector<Offer> offers;
  std::vector<TaskRun> stops;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, to_incarnation, sent, echoed, acknowledged_end, control,
            waiting, wants_reply, offers, stops);
  }
};

/// Why a sidecar did not take an offered task.
enum class Refusal : uint8_t {
  /// Taken.
  kNone,
  /// The upstream has no room for it now.
  kNoRoom,
  /// The echoed clock reading is too old; the answer carries a fresh one.
  kStale,
  /// Nothing starts here: no upstream, draining, zone out, stopping.
  kClosed,
  /// Another run of the task is still here.
  kOtherRun,
  /// The run was stopped before its offer came.
  kStopped,
};

/// What became of an offer.
struct OfferReply {
  uint64_t id = 0;
  /// One for each task of the offer.
  std::vector<Refusal> refusals;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(id, refusals);
  }
};

/// How a run ended.
enum class EndKind : uint8_t {
  kDone,
  /// Failed through its own fault or the upstream's.
  kFailed,
  /// Stopped on demand.
  kStopped,
  /// Certainly never started.
  kNotStarted,
  /// Went down with its upstream or its lease.
  kLost,
};

/// A run that ended, numbered within the session.
struct RunEnd {
  uint64_t number = 0;
  TaskRun run;
  EndKind kind = EndKind::kDone;
  /// Microseconds from the order until the end was seen.
  int64_t took_micros = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(number, run, kind, took_micros);
  }
};

/// What a sidecar tells of its upstream.
struct UpstreamProfile {
  std::string service;
  ZoneName zone;
  /// Kind and rack of the upstream's machine.
  std::vector<std::string> labels;
  Resources capacity;

  friend bool operator==(const UpstreamProfile&,
                         const UpstreamProfile&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(service, zone, labels, capacity);
  }
};

/// From a sidecar to an entry.
struct SidecarMessage {
  Peer from;
  /// Incarnation of the entry whose session this is.
  uint64_t to_incarnation = 0;
  /// Newest EntryMessage::sent that has arrived: what an earlier life of the
  /// sidecar wrote shows an old one.
  int64_t asked_at = 0;
  ClockReading clock = 0;
  ControlPosition control;
  /// Tasks may start here.
  bool open = false;
  UpstreamProfile upstream;
  Resources free;
  std::vector<OfferReply> replies;
  /// Ends not taken note of yet, in order of number.
  std::vector<RunEnd> ends;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, to_incarnation, asked_at, clock, control, open, upstream,
            free, replies, ends);
  }
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_MESSAGE_H_

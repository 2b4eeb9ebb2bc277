#ifndef FILBERTWICK_WIRE_MESSAGE_H_
#define FILBERTWICK_WIRE_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/wire/control_record.h"
#include "filbertwick/wire/epoch.h"
#include "filbertwick/wire/job.h"

namespace filbertwick::wire {

/// A reading of the monotonic clock of the issuing process, in microseconds.
/// Other processes echo it but can't interpret it: only the issuer computes an
/// age from it, so that no clock synchronization is needed.
using ClockToken = int64_t;

/// Summary of the control state of an instance: the prefix of the control
/// stream that it has applied, and the shard epochs that it knows beyond that
/// prefix.
struct StateSummary {
  /// Number of control records applied.
  LogOffset offset = 0;
  /// Epochs that are higher than those in the control state at `offset`, in
  /// ascending order of shard.
  std::vector<ShardEpoch> overrides;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(offset, overrides);
  }
};

/// Requests the state summary of an instance and carries that of the sender.
/// Sent periodically by entries, and by sidecars that aren't voters yet.
struct Probe {
  /// Clock reading of the sender, echoed in the reply.
  ClockToken sent = 0;
  StateSummary summary;
  /// In a probe from an entry to a sidecar: the newest clock token of the
  /// sidecar that the entry holds. It renews the tokens of the entry's queued
  /// offers. 0 while the entry has no quorum evidence, and from sidecars.
  ClockToken renewal = 0;
  /// The sender is a voter: its summaries count towards a quorum.
  bool is_voter = false;
  /// The sender is about to leave and accepts no shards.
  bool stopping = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sent, summary, renewal, is_voter, stopping);
  }
};

/// Load of a sidecar.
struct Load {
  /// Number of tasks that the upstream can run concurrently; 0 while it takes
  /// no new ones: it is gone, draining, in a zone that is out, or beside a
  /// sidecar that stops.
  uint32_t slots = 0;
  uint32_t running = 0;
  uint32_t queued = 0;

  friend bool operator==(const Load&, const Load&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(slots, running, queued);
  }
};

/// Reply to a Probe.
struct ProbeReply {
  /// Probe::sent of the probe.
  ClockToken echo = 0;
  StateSummary summary;
  /// The sender is a voter: it knows at least what earlier incarnations of its
  /// name have reported, so its summary may count towards a quorum.
  bool is_voter = false;
  /// Clock reading of the sender. An entry copies the newest one of a sidecar
  /// into the offers that it sends to it.
  ClockToken token = 0;
  Load load;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(echo, summary, is_voter, token, load);
  }
};

/// Requests control records, starting at `from`. Answered with Records, or with
/// a Snapshot when the receiver no longer holds the record at `from`.
struct RecordsRequest {
  LogOffset from = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from);
  }
};

/// Consecutive control records in log order.
struct Records {
  /// Offset of the first record.
  LogOffset first = 0;
  std::vector<ControlRecord> records;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(first, records);
  }
};

/// The whole control state, for an instance that needs older records than the
/// sender holds.
struct Snapshot {
  /// Result of ControlState::Encode().
  std::string state;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(state);
  }
};

/// Identifies a task by its job and its index within the job.
struct TaskKey {
  JobId job;
  uint32_t index = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(job, index);
  }
};

/// Offers a task to a sidecar, which starts, queues or refuses it.
struct TaskOffer {
  TaskKey key;
  /// Number of the offer, counted per task from 1; later offers are higher.
  uint32_t attempt = 1;
  /// The task may run again after an earlier attempt of it has ended at this
  /// sidecar.
  bool repeat = false;
  ShardId shard = 0;
  Epoch epoch;
  ServiceName service;
  BodyDigest digest;
  /// Newest clock token of the sidecar that the owner held when it checked its
  /// quorum evidence. The sidecar refuses an offer whose token is too old.
  ClockToken token = 0;
  Duration timeout{0};
  std::string payload;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, attempt, repeat, shard, epoch, service, digest, token, timeout,
            payload);
  }
};

/// Offers of an entry to a sidecar.
struct Offers {
  /// Incarnation of the sidecar that issued the clock tokens. Another
  /// incarnation ignores the message.
  Incarnation incarnation = 0;
  std::vector<TaskOffer> offers;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(incarnation, offers);
  }
};

/// State of a task at a sidecar.
enum class TaskState : uint8_t {
  /// Waits in the queue of the sidecar.
  kQueued,
  kStarted,
  /// Ended; the outcome is in the result.
  kEnded,
  /// Not started, and never will be under this attempt or an earlier one.
  kRefused,
  /// Not known to the sidecar.
  kUnknown,
};

/// Reason for which a sidecar refused an offer.
enum class RefusalCause : uint8_t {
  kNone,
  kStaleToken,
  kOldEpoch,
  kZoneOut,
  kFull,
  kUpstreamGone,
  kStopping,
  kWithdrawn,
  kDigestMismatch,
};

/// State change of a task, reported by a sidecar to the owner of the task.
struct TaskUpdate {
  TaskKey key;
  uint32_t attempt = 1;
  TaskState state = TaskState::kUnknown;
  RefusalCause cause = RefusalCause::kNone;
  /// Set when `state` is kEnded.
  TaskResult result;
  /// Run time at the upstream when `state` is kEnded.
  Duration run_time{0};

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, attempt, state, cause, result, run_time);
  }
};

/// State changes of tasks at a sidecar, with its load and a new clock token.
struct TaskUpdates {
  std::vector<TaskUpdate> updates;
  Load load;
  ClockToken token = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(updates, load, token);
  }
};

/// Withdraws the offers of a task up to an attempt.
struct TaskWithdrawal {
  TaskKey key;
  uint32_t attempt = 1;
  /// Also stops the task if it is running.
  bool stop_running = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, attempt, stop_running);
  }
};

/// Withdraws offered tasks. The sidecar answers each with a TaskUpdate:
/// kRefused when the task wasn't started, otherwise the state of the started
/// attempt.
struct Withdraw {
  std::vector<TaskWithdrawal> tasks;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(tasks);
  }
};

/// Acknowledges the ends of tasks: the owner has their results, and the sidecar
/// stops resending them.
struct Acknowledge {
  std::vector<TaskKey> keys;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(keys);
  }
};

/// Requests an inventory of the tasks that a sidecar has started for the given
/// jobs. Sent by a new owner of the shard, so that it starts none of them
/// twice.
struct CensusRequest {
  ShardId shard = 0;
  Epoch epoch;
  std::vector<JobId> jobs;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(shard, epoch, jobs);
  }
};

/// The tasks of a job that a sidecar has started.
struct CensusEntry {
  JobId job;
  BodyDigest digest;
  std::vector<TaskUpdate> tasks;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(job, digest, tasks);
  }
};

/// Reply to a CensusRequest; covers every requested job.
struct CensusReply {
  ShardId shard = 0;
  Epoch epoch;
  std::vector<JobId> jobs;
  /// Requested jobs of which the ledger of the sidecar holds started tasks. Of
  /// the other jobs, this incarnation has started no task that is running or
  /// ended within the dedupe window.
  std::vector<CensusEntry> known;
  /// Time since the start of this incarnation, which knows of no earlier
  /// starts.
  Duration uptime{0};

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(shard, epoch, jobs, known, uptime);
  }
};

/// Number of a request, unique within the entry that accepted it.
using RequestId = uint64_t;

/// Forwards a submitted job to the owner of its shard.
struct ForwardJob {
  RequestId request = 0;
  ShardId shard = 0;
  JobSpec spec;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request, shard, spec);
  }
};

/// Operation on a job that was submitted before.
enum class JobQuery : uint8_t { kFetch, kCancel, kExplain };

/// Forwards a query about a job to the owner of its shard.
struct ForwardQuery {
  RequestId request = 0;
  ShardId shard = 0;
  JobId job;
  JobQuery query = JobQuery::kFetch;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request, shard, job, query);
  }
};

/// Answers a ForwardJob or a ForwardQuery.
struct ForwardAnswer {
  RequestId request = 0;
  /// The sender doesn't own the shard; the request must go to another entry.
  bool not_owner = false;
  /// With `not_owner`: the epoch of the shard as known to the sender.
  ShardEpoch known;
  JobAnswer answer;
  /// For kExplain: the decisions about the job, one line per step.
  std::vector<std::string> explanation;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request, not_owner, known, answer, explanation);
  }
};

/// State of a task at the owner when it hands the shard over.
struct HandoverTask {
  /// kUnknown: never offered, or definitely not started; kQueued: offered;
  /// kStarted: reported as started; kEnded: `result` is valid.
  TaskState state = TaskState::kUnknown;
  /// Attempt number of the last offer.
  uint32_t attempt = 0;
  /// Sidecar that holds the task while kQueued or kStarted.
  InstanceName sidecar;
  Incarnation sidecar_incarnation = 0;
  TaskResult result;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(state, attempt, sidecar, sidecar_incarnation, result);
  }
};

/// A job of a shard that is handed over.
struct HandoverJob {
  JobSpec spec;
  /// Time until the deadline of the job; negative once it has passed.
  Duration remaining{0};
  bool ended = false;
  /// No earlier owner of the shard can have received a job with this id.
  bool first_submission = false;
  JobAnswer answer;
  std::vector<HandoverTask> tasks;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(spec, remaining, ended, first_submission, answer, tasks);
  }
};

/// Transfers shards and the state of their jobs to a successor, as a planned
/// handover. From then on the sender starts no task of these shards.
struct Handover {
  /// Incarnation of the intended successor; another one ignores the message.
  Incarnation incarnation = 0;
  std::vector<ShardEpoch> shards;
  /// `jobs` is the complete history: no other job of these shards was started
  /// within the dedupe window.
  bool complete = false;
  std::vector<HandoverJob> jobs;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(incarnation, shards, complete, jobs);
  }
};

/// Confirms a Handover: the successor has taken over the job state, and serves
/// the shards now or will do so.
struct HandoverDone {
  std::vector<ShardEpoch> shards;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(shards);
  }
};

/// Any message between two instances. The index within the variant is part of
/// the wire format.
using Message = std::variant<Probe,
                             ProbeReply,
                             RecordsRequest,
                             Records,
                             Snapshot,
                             Offers,
                             TaskUpdates,
                             Withdraw,
                             Acknowledge,
                             CensusRequest,
                             CensusReply,
                             ForwardJob,
                             ForwardQuery,
                             ForwardAnswer,
                             Handover,
                             HandoverDone>;

/// Sender of a message.
struct Sender {
  InstanceName name;
  Incarnation incarnation = 0;

  friend bool operator==(const Sender&, const Sender&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(name, incarnation);
  }
};

}  // namespace filbertwick::wire

#endif  // FILBERTWICK_WIRE_MESSAGE_H_

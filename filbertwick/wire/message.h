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

/// Microseconds on the monotonic clock of the process that issued it. Only
/// that process compares it with anything.
using ClockToken = int64_t;

/// What an instance knows of the control stream and of epochs beyond it.
struct StateSummary {
  /// Number of control records folded.
  LogOffset offset = 0;
  /// Epochs known to be higher than the fold at `offset` gives.
  std::vector<ShardEpoch> overrides;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(offset, overrides);
  }
};

/// An entry asks an instance what it knows. Also tells what the entry knows.
struct Probe {
  /// Of the asker's clock, echoed in the reply.
  ClockToken sent = 0;
  StateSummary summary;
  /// For sidecars: the token that queued offers of this entry may count from;
  /// 0 while the entry's evidence does not hold.
  ClockToken renewal = 0;
  /// The asker counts as a vouching instance.
  bool is_voter = false;
  /// The asker is about to leave and takes nothing over.
  bool stopping = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(sent, summary, renewal, is_voter, stopping);
  }
};

/// What a sidecar says of its load.
struct Load {
  /// Tasks the upstream can run at a time; 0 while it is gone or leaving.
  uint32_t slots = 0;
  uint32_t running = 0;
  uint32_t queued = 0;

  friend bool operator==(const Load&, const Load&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(slots, running, queued);
  }
};

/// Answers a Probe.
struct ProbeReply {
  /// `sent` of the probe.
  ClockToken echo = 0;
  StateSummary summary;
  /// The instance may be counted: it knows what its name has vouched for.
  bool is_voter = false;
  /// The replier's own clock, for sidecars.
  ClockToken token = 0;
  Load load;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(echo, summary, is_voter, token, load);
  }
};

/// Asks for control records from an offset on.
struct RecordsRequest {
  LogOffset from = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from);
  }
};

/// Control records in the order of the log.
struct Records {
  LogOffset first = 0;
  std::vector<ControlRecord> records;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(first, records);
  }
};

/// The folded state up to an offset, for one who needs older records than the
/// sender keeps.
struct Snapshot {
  /// State as ControlState::Encode() gives it.
  std::string state;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(state);
  }
};

/// One task of one job.
struct TaskKey {
  JobId job;
  uint32_t index = 0;

  friend auto operator<=>(const TaskKey&, const TaskKey&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(job, index);
  }
};

/// Hands one task to a sidecar.
struct TaskOffer {
  TaskKey key;
  /// Number of the offer within the task's life; later offers are higher.
  uint32_t attempt = 1;
  /// The task may run again though an earlier start of it is known.
  bool repeat = false;
  ShardId shard = 0;
  Epoch epoch;
  ServiceName service;
  BodyDigest digest;
  /// Newest token of the sidecar held when the evidence was checked.
  ClockToken token = 0;
  Duration timeout{0};
  std::string payload;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, attempt, repeat, shard, epoch, service, digest, token, timeout,
            payload);
  }
};

/// Offers of one entry to one sidecar.
struct Offers {
  /// Incarnation of the sidecar that the tokens are from.
  Incarnation incarnation = 0;
  std::vector<TaskOffer> offers;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(incarnation, offers);
  }
};

/// State of a task as its sidecar knows it.
enum class TaskState : uint8_t {
  /// Waits at the sidecar.
  kQueued,
  kStarted,
  /// Ended; the result tells how.
  kEnded,
  /// Not started here and never will be under this offer or an older one.
  kRefused,
  /// The sidecar has no record of it.
  kUnknown,
};

/// Why a sidecar refused an offer.
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

/// News of one task.
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

/// News of a sidecar's tasks, with its load and a fresh token.
struct TaskUpdates {
  std::vector<TaskUpdate> updates;
  Load load;
  ClockToken token = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(updates, load, token);
  }
};

/// One task that the owner wants back or stopped.
struct TaskWithdrawal {
  TaskKey key;
  uint32_t attempt = 1;
  /// A started task is stopped as well.
  bool stop_running = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(key, attempt, stop_running);
  }
};

/// Takes tasks back; each is answered with a TaskUpdate.
struct Withdraw {
  std::vector<TaskWithdrawal> tasks;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(tasks);
  }
};

/// The owner has what it needs of these tasks: the sidecar may drop results.
struct Acknowledge {
  std::vector<TaskKey> keys;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(keys);
  }
};

/// A new owner asks what a sidecar started of some jobs.
struct CensusRequest {
  ShardId shard = 0;
  Epoch epoch;
  std::vector<JobId> jobs;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(shard, epoch, jobs);
  }
};

/// What a sidecar knows of one job.
struct CensusEntry {
  JobId job;
  BodyDigest digest;
  std::vector<TaskUpdate> tasks;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(job, digest, tasks);
  }
};

/// Answers a CensusRequest, for every job asked.
struct CensusReply {
  ShardId shard = 0;
  Epoch epoch;
  std::vector<JobId> jobs;
  /// Jobs of which something is known; the others were never started here.
  std::vector<CensusEntry> known;
  /// Time since this incarnation started.
  Duration uptime{0};

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(shard, epoch, jobs, known, uptime);
  }
};

/// Number of a request inside the entry that accepted it.
using RequestId = uint64_t;

/// An entry passes a caller's job to the owner of its shard.
struct ForwardJob {
  RequestId request = 0;
  ShardId shard = 0;
  JobSpec spec;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request, shard, spec);
  }
};

/// What is asked of a job that may be known already.
enum class JobQuery : uint8_t { kFetch, kCancel, kExplain };

/// An entry passes a caller's question to the owner of the job's shard.
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

/// The owner's answer to a forwarded request.
struct ForwardAnswer {
  RequestId request = 0;
  /// The receiver does not own the shard: ask again elsewhere.
  bool not_owner = false;
  /// With `not_owner`: the epoch of the shard as the receiver knows it.
  ShardEpoch known;
  JobAnswer answer;
  /// For kExplain: what was decided, one line a step.
  std::vector<std::string> explanation;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(request, not_owner, known, answer, explanation);
  }
};

/// What an owner knows of a task when it hands its shard over.
struct HandoverTask {
  /// kUnknown: never offered or certainly not started; kQueued: offered;
  /// kStarted; kEnded: `result` is there.
  TaskState state = TaskState::kUnknown;
  /// Number of the last offer.
  uint32_t attempt = 0;
  /// Sidecar that holds it while kQueued or kStarted.
  InstanceName sidecar;
  Incarnation sidecar_incarnation = 0;
  TaskResult result;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(state, attempt, sidecar, sidecar_incarnation, result);
  }
};

/// One job of a shard that is handed over.
struct HandoverJob {
  JobSpec spec;
  /// Time left until the deadline; negative when it has ended.
  Duration remaining{0};
  bool ended = false;
  /// No earlier owner can have seen its key.
  bool fresh = false;
  JobAnswer answer;
  std::vector<HandoverTask> tasks;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(spec, remaining, ended, fresh, answer, tasks);
  }
};

/// A stopping owner gives shards with their memory to a successor. The sender
/// starts nothing under these epochs any more.
struct Handover {
  /// The incarnation of the successor that is meant.
  Incarnation incarnation = 0;
  std::vector<ShardEpoch> shards;
  /// No other job of these shards was started within the dedupe window.
  bool complete = false;
  std::vector<HandoverJob> jobs;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(incarnation, shards, complete, jobs);
  }
};

/// The successor has the memory and serves or will serve.
struct HandoverDone {
  std::vector<ShardEpoch> shards;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(shards);
  }
};

/// Any message between two instances.
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

/// Who sent a message.
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

#ifndef FILBERTWICK_CORE_DIRECT_JOB_HANDOVER_H_
#define FILBERTWICK_CORE_DIRECT_JOB_HANDOVER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/direct_settings.h"
#include "filbertwick/core/direct/handover.h"
#include "filbertwick/core/policy/handover_choice.h"
#include "filbertwick/core/policy/message_budget.h"
#include "filbertwick/core/policy/resend_timer.h"

namespace filbertwick::core::direct {

/// A job that this entry has handed over, with the requests that wait for its
/// outcome.
struct Relay {
  JobRequest job;
  /// Requests of callers, or of other entries; empty once the job is withdrawn.
  std::vector<uint64_t> requests;
  /// When the first request arrived.
  Instant arrived;
  Instant deadline;
  InstanceName target;
  /// See HandedJob::number.
  uint64_t number = 0;
  /// Version of the configuration under which the job was read.
  uint64_t configuration = 0;
  Instant handed_at;
  /// The target may have received the job.
  bool was_sent = false;
  /// Targets that have declined the job.
  uint32_t declines = 0;
  policy::ResendTimer resend{Instant()};
};

/// Returns the job as of `now`: with the time since its arrival taken off its
/// time limit and target, and added to its age.
JobRequest RemainingJob(Instant now, const Relay& relay);

/// Another entry has handed over a job. The receiver of the event declines it
/// with JobHandover::Decline() or runs it under the number `request`, whose
/// outcome it reports with JobHandover::Answer() or End().
struct JobOfferedEvent {
  Peer from;
  uint64_t request = 0;
  HandedJob handed;
};

/// The origin of a job that runs here no longer waits for it. The receiver of
/// the event removes the request, reports the end with JobHandover::End(), and
/// stops the job unless another request waits for it.
struct HolderGoneEvent {
  Peer origin;
  uint64_t request = 0;
  /// Why, as one identifier.
  std::string cause;
};

/// A handed-over job has an outcome, or was lost.
struct RelayAnsweredEvent {
  Relay relay;
  HandoverResult result;
  /// The target is known to have lost the job.
  bool was_lost = false;
};

/// Nothing of a handed-over job has run or will run at the target, so this
/// entry may run it.
struct RelayReturnedEvent {
  Relay relay;
  std::string cause;
  /// The target has declined the job, rather than dropped it.
  bool was_declined = false;
};

using HandoverEvent = std::variant<JobOfferedEvent,
                                   HolderGoneEvent,
                                   RelayAnsweredEvent,
                                   RelayReturnedEvent>;
using HandoverEvents = std::vector<HandoverEvent>;

/// Requests that stand for jobs of other entries have this bit set; requests of
/// callers do not reach it.
inline constexpr uint64_t kHandedInBit = uint64_t{1} << 63;
inline bool IsHandedIn(uint64_t request) {
  return (request & kHandedInBit) != 0;
}

/// Both sides of the handover protocol (handover.h), with all other entries.
/// Keeps the jobs handed over by this entry and those handed to it, but runs
/// none: the owner does, as the returned events tell it. All events of a call
/// must be handled before the next one. A deterministic state machine: it
/// performs no I/O and receives the time with each call. Not thread-safe.
class JobHandover {
 public:
  JobHandover(Peer self, const HandoverTimes& times, Duration orphan_bound)
      : self_(std::move(self)), times_(times), orphan_bound_(orphan_bound) {}

  // Other entries.

  /// Records what an entry has reported about itself.
  void OnEntryLoad(Instant now,
                   const Peer& entry,
                   const ZoneName& zone,
                   const EntryLoad& load);
  /// Returns the entries that may take over a job, with their names.
  std::vector<std::pair<InstanceName, policy::HandoverCandidate>> Candidates(
      Instant now,
      const ZoneName& own_zone) const;

  // As origin.

  /// Hands over a job. `relay.target` is a name from Candidates().
  void HandOver(Instant now, Relay relay);
  /// Adds a request to a handed-over job; false when there is none of this id.
  bool Attach(std::string_view job, uint64_t request);
  /// Returns the target of a handed-over job that a request waits for; empty
  /// when there is none of this id.
  InstanceName TargetOf(std::string_view job) const;
  /// Removes a request, and withdraws the job when no other waits for it. False
  /// when the request does not wait for a handed-over job. Sets `withdrawn` to
  /// the job's id when it is withdrawn.
  bool RemoveRequest(uint64_t request, std::string& withdrawn);
  /// Withdraws a job and returns it with the requests that wait for it; empty
  /// when there is none of this id.
  std::optional<Relay> Cancel(std::string_view job);

  // As target.

  /// Declines a job that was offered with `request`.
  void Decline(Instant now, uint64_t request, std::string_view cause);
  /// Marks a job that was offered with `request` as taken.
  void Accept(Instant now, uint64_t request);
  /// Reports the end of a job that was taken; HandoverResult::number is set
  /// here. No effect when its end was reported before.
  void End(Instant now, uint64_t request, HandoverResult result);
  /// Jobs taken that have not ended, and ends that are not acknowledged by an
  /// origin which was heard lately.
  size_t CountOpen(Instant now) const;

  // Time and messages.

  HandoverEvents OnMessage(Instant now, const HandoverMessage& message);
  /// Reports that a message of ComposeMessages() was not sent.
  void OnNotSent(Instant now,
                 const InstanceName& to,
                 const HandoverMessage& message);
  /// Returns the jobs whose origin's lease has expired. Must be called before
  /// any task is placed.
  HandoverEvents TakeExpiredLeases(Instant now);
  /// Performs the timed work of the origin that is due.
  HandoverEvents OnWakeup(Instant now);
  Instant NextWakeup() const;
  /// Returns true when ComposeMessages() would return any.
  bool HasMessages(Instant now) const;
  /// Returns the messages that are due. `load` is what this entry reports.
  std::vector<std::pair<InstanceName, HandoverMessage>> ComposeMessages(
      Instant now,
      const EntryLoad& load);

 private:
  /// A job that could not be sent within this time, because the target does not
  /// answer, returns; a few round trips.
  static constexpr Duration kMaxUnsentTime = std::chrono::milliseconds(60);
  /// An unacknowledged end is kept for this long after the origin was alive;
  /// longer than callers wait.
  static constexpr Duration kEndMemory = std::chrono::seconds(3);

  /// A job from an origin.
  struct HandedIn {
    enum class Phase : uint8_t {
      /// Taken, without an end.
      kOpen,
      /// The end is not acknowledged.
      kEnded,
      /// The number must not be used again.
      kClosed,
    };
    Phase phase = Phase::kOpen;
    uint64_t request = 0;
    Instant ended_at;
    HandoverResult result;
    policy::ResendTimer resend{Instant()};
  };

  /// Another entry.
  struct Neighbour {
    Peer peer;
    ZoneName zone;
    EntryLoad load;
    Instant load_at = Instant::min();
    uint32_t handed_since_load = 0;

    /// Newest reading of its clock and when it arrived.
    ClockReading clock = 0;
    Instant heard_at = Instant::min();
    /// Newest reading of the own clock that it has echoed.
    Instant echoed = Instant::min();
    /// Shortest time from a reading to its echo; 0 before the first.
    Duration round_trip{0};
    /// When a message that asks for a reply was sent last.
    Instant asked_at = Instant::min();
    bool send_due = false;
    bool wants_reply = false;
    /// When delayed items must be sent.
    Instant send_by = Instant::max();

    // As target of this entry's jobs.
    uint64_t next_number = 1;
    std::map<uint64_t, Relay> relays;
    /// Numbers of relays that are neither accepted nor withdrawn.
    std::set<uint64_t> unaccepted;
    /// Numbers of relays that are withdrawn.
    std::set<uint64_t> withdrawn;
    std::vector<uint64_t> acknowledged;

    // As origin.
    uint64_t first_open = 0;
    std::map<uint64_t, HandedIn> handed_in;
    /// Numbers in `handed_in` by phase.
    std::set<uint64_t> open;
    std::set<uint64_t> ended;
    std::vector<uint64_t> accepted;
  };

  // Messages.
  void BeginIncarnation(Neighbour& neighbour,
                        const Peer& peer,
                        HandoverEvents& events);
  void Reply(const HandoverMessage& message, Instant now);
  void RecordClocks(Instant now,
                    const HandoverMessage& message,
                    Neighbour& neighbour);
  bool IsMessageDue(Instant now, const Neighbour& neighbour) const;
  /// When this entry next asks the neighbour for a reply, if nothing is heard
  /// until then.
  Instant NextQuestion(const Neighbour& neighbour) const;
  HandoverMessage Compose(Instant now, Neighbour& neighbour);

  // As origin.
  /// A reading of the target's clock is new enough for a job to be sent.
  bool IsClockFresh(Instant now, const Neighbour& neighbour) const {
    return neighbour.clock != 0 && now - neighbour.heard_at <= times_.lease / 2;
  }
  void HandleFromTarget(Instant now,
                        const HandoverMessage& message,
                        Neighbour& neighbour,
                        HandoverEvents& events);
  /// Removes a relay and its index entries.
  Relay TakeRelay(Neighbour& neighbour, uint64_t number);
  /// Ends the wait of all requests for a relay, which is returned, and sends
  /// the target a withdrawal if it may have received the job.
  Relay Withdraw(Neighbour& neighbour, uint64_t number);
  /// The runs of all jobs handed to this target are certainly over.
  void LoseTarget(Neighbour& neighbour,
                  std::string_view cause,
                  HandoverEvents& events);
  /// When the target counts as lost unless it is heard before; there must be a
  /// relay to it.
  Instant LossTime(const Neighbour& neighbour) const;
  /// Adds the jobs that are due to a message, as many as fit. Returns true when
  /// more are due.
  bool AddJobs(Instant now,
               Neighbour& neighbour,
               policy::MessageBudget& budget,
               HandoverMessage& message);
  /// The same for the results that the target reports.
  static bool AddResults(Instant now,
                         Neighbour& neighbour,
                         policy::MessageBudget& budget,
                         HandoverMessage& message);

  // As target.
  void HandleFromOrigin(Instant now,
                        const HandoverMessage& message,
                        Neighbour& neighbour,
                        HandoverEvents& events);
  void HandleWithdrawal(Instant now,
                        Neighbour& neighbour,
                        uint64_t number,
                        HandoverEvents& events);
  void DropOpenJobs(const Neighbour& neighbour,
                    std::string_view cause,
                    HandoverEvents& events) const;
  static void Forget(Neighbour& neighbour, uint64_t number);
  /// Gives up the ends that their origin has not acknowledged for long.
  static void CloseOldEnds(Instant now, Neighbour& neighbour);

  const Peer self_;
  const HandoverTimes times_;
  const Duration orphan_bound_;
  std::map<InstanceName, Neighbour> neighbours_;
  /// Target and number of the relays that requests wait for.
  using RelayKey = std::pair<InstanceName, uint64_t>;
  std::unordered_map<std::string, RelayKey> by_job_;
  std::unordered_map<uint64_t, RelayKey> by_request_;
  std::set<std::pair<Instant, RelayKey>> deadlines_;
  /// Origin and number of the jobs that run here, by request.
  std::unordered_map<uint64_t, RelayKey> handed_in_;
  uint64_t last_request_ = 0;
  /// Until then no silent target counts as lost: this entry was paused, and the
  /// messages that arrived meanwhile may not be read yet.
  Instant resumed_until_;
  Instant last_wakeup_ = Instant::max();
  /// Replies to instances whose incarnation is not established.
  std::vector<std::pair<InstanceName, HandoverMessage>> replies_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_JOB_HANDOVER_H_

#ifndef FILBERTWICK_CORE_SIDECAR_TASK_RUNNER_H_
#define FILBERTWICK_CORE_SIDECAR_TASK_RUNNER_H_

#include <cstdint>
#include <span>

#include "filbertwick/core/effect.h"
#include "filbertwick/core/event.h"
#include "filbertwick/core/outbox.h"
#include "filbertwick/core/sidecar/offer_queue.h"
#include "filbertwick/core/sidecar/task_ledger.h"
#include "filbertwick/core/state/member.h"

namespace filbertwick::core {

/// Starts offered tasks at the upstream beside the sidecar.
///
/// Offer protocol: the owner of a shard offers a task under its epoch, with a
/// clock token of this sidecar. The sidecar starts the task, queues it until a
/// slot is free, or refuses it: for a stale token, an outdated epoch, a zone
/// that is out, a full queue, a stopping sidecar or an upstream that is gone. A
/// refusal is final for its attempt. A task that was started before isn't
/// started again unless the offer allows it; the owner gets the recorded state
/// instead. Queued offers are checked again before they start, and the owner
/// renews their tokens by its probes. The end of a task is resent until the
/// owner acknowledges it.
class TaskRunner {
 public:
  /// Creates a runner on `member` and `outbox`, which must outlive it.
  TaskRunner(Member& member, Outbox& outbox);

  /// Starts, queues or refuses each offer.
  void OnOffers(Instant now,
                const wire::Sender& from,
                wire::Offers& offers,
                Effects& effects);
  /// Removes withdrawn offers from the queue, and stops running tasks if
  /// requested. Answers each with a TaskUpdate.
  void OnWithdraw(Instant now,
                  const wire::Sender& from,
                  const wire::Withdraw& withdraw,
                  Effects& effects);
  /// Ends the resending of the results of the acknowledged tasks.
  void OnAcknowledge(const wire::Acknowledge& acknowledge);
  /// Replies with the tasks started here for the requested jobs, and makes the
  /// sender their owner. A request under an outdated epoch isn't answered.
  void OnCensus(Instant now,
                const wire::Sender& from,
                const wire::CensusRequest& request,
                Effects& effects);
  /// Renews the clock tokens of the queued offers of an entry that has quorum
  /// evidence.
  void OnRenewal(const InstanceName& owner, const wire::Probe& probe);
  /// Updates the slots of the upstream. Refuses all queued offers when the
  /// upstream is gone or leaves; otherwise starts queued ones in free slots.
  void OnUpstream(Instant now, const UpstreamEvent& event, Effects& effects);
  /// Records the end of a task, or reverts its start if the upstream refused
  /// it, and starts queued offers in free slots.
  void OnExecution(Instant now,
                   const ExecutionEndedEvent& event,
                   Effects& effects);
  /// Refuses all queued offers and every further one.
  void Stop(Instant now, Effects& effects);

  /// Refuses queued offers that may no longer start, starts others in free
  /// slots, resends unacknowledged ends and expires old tasks.
  void Tick(Instant now, Effects& effects);
  /// Returns when Tick() is due.
  Instant NextWakeup(Instant now) const;

  /// Returns the load to report to entries.
  wire::Load load() const;
  /// True when no task runs or waits and all ends are acknowledged.
  bool idle() const;
  /// The tasks started here.
  const TaskLedger& ledger() const { return ledger_; }
  /// Digest of the state.
  uint64_t Hash() const;

 private:
  void OnOffer(Instant now,
               const InstanceName& from,
               wire::TaskOffer& offer,
               Effects& effects);
  /// Returns why the offer may not start or wait; kNone when it may.
  wire::RefusalCause FindRefusalCause(Instant now,
                                      const wire::TaskOffer& offer) const;
  /// Reports the state of a task that was started before and may not start
  /// again; returns false if there is none.
  bool AnswerFromLedger(const InstanceName& from, const wire::TaskOffer& offer);
  /// True when a task of the same job was started here with another digest.
  bool HasDigestMismatch(const wire::TaskOffer& offer);
  /// Returns the maximum number of offers that wait at a sidecar of the
  /// service.
  uint32_t QueueBound(const ServiceName& service) const;
  uint32_t FreeSlots() const;
  void StartTask(Instant now,
                 const InstanceName& owner,
                 wire::TaskOffer& offer,
                 Effects& effects);
  void StartQueued(Instant now, Effects& effects);
  void Refuse(Instant now,
              const InstanceName& owner,
              const wire::TaskKey& key,
              uint32_t attempt,
              wire::RefusalCause cause);
  void RefuseInadmissible(Instant now);
  void RefuseAllQueued(Instant now, wire::RefusalCause cause);

  Member& member_;
  Outbox& outbox_;
  TaskLedger ledger_;
  OfferQueue queue_;
  uint32_t slots_ = 0;
  bool upstream_leaving_ = false;
  bool stopping_ = false;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_SIDECAR_TASK_RUNNER_H_

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

/// Starts offered tasks at the upstream beside the sidecar, and refuses those
/// that may not start: a stale token, an old epoch, a zone that is out, a key
/// that started before.
class TaskRunner {
 public:
  /// A runner over `member` and `outbox`, which must outlive it.
  TaskRunner(Member& member, Outbox& outbox);

  void OnOffers(Instant now,
                const wire::Sender& from,
                wire::Offers& offers,
                Effects& effects);
  void OnWithdraw(Instant now,
                  const wire::Sender& from,
                  const wire::Withdraw& withdraw,
                  Effects& effects);
  void OnAcknowledge(const wire::Acknowledge& acknowledge);
  void OnCensus(Instant now,
                const wire::Sender& from,
                const wire::CensusRequest& request,
                Effects& effects);
  /// An entry whose evidence holds confirms its queued offers.
  void OnRenewal(const InstanceName& owner, const wire::Probe& probe);
  void OnUpstream(Instant now, const UpstreamEvent& event, Effects& effects);
  void OnExecution(Instant now,
                   const ExecutionEndedEvent& event,
                   Effects& effects);
  /// Takes no more work and gives back what waits.
  void Stop(Instant now, Effects& effects);

  /// Refuses what may not start any more, starts what may, tells ends again.
  void Tick(Instant now, Effects& effects);
  /// When Tick() is due.
  Instant NextWakeup(Instant now) const;

  /// Load as told to entries.
  wire::Load load() const;
  /// True when nothing runs, waits or remains to be told.
  bool idle() const;
  /// The kept tasks.
  const TaskLedger& ledger() const { return ledger_; }
  /// Digest of the state.
  uint64_t Hash() const;

 private:
  void OnOffer(Instant now,
               const InstanceName& from,
               wire::TaskOffer& offer,
               Effects& effects);
  wire::RefusalCause FindRefusalCause(Instant now,
                                      const wire::TaskOffer& offer) const;
  bool AnswerFromLedger(const InstanceName& from, const wire::TaskOffer& offer);
  bool HasDigestMismatch(const wire::TaskOffer& offer);
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

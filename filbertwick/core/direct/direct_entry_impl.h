#ifndef FILBERTWICK_CORE_DIRECT_DIRECT_ENTRY_IMPL_H_
#define FILBERTWICK_CORE_DIRECT_DIRECT_ENTRY_IMPL_H_

// Private state of DirectEntry; include it only from its own sources.

#include <algorithm>
#include <cassert>
#include <iterator>
#include <limits>
#include <map>
#include <ranges>
#include <utility>
#include <vector>

#include "filbertwick/core/direct/direct_entry.h"
#include "filbertwick/core/direct/direct_job_table.h"
#include "filbertwick/core/direct/job_handover.h"
#include "filbertwick/core/direct/offer_split.h"
#include "filbertwick/core/direct/recent_run_numbers.h"
#include "filbertwick/core/direct/sidecar_view.h"
#include "filbertwick/core/direct/upstream_table.h"
#include "filbertwick/core/policy/crash_containment.h"
#include "filbertwick/core/policy/message_budget.h"
#include "filbertwick/core/policy/overload_detector.h"
#include "filbertwick/core/policy/retry_after_estimator.h"
#include "filbertwick/core/policy/task_placement.h"
#include "filbertwick/core/policy/waiting_job_queue.h"

namespace filbertwick::core::direct {

/// Returns true when the upstream has the label, or when it is empty.
inline bool HasLabel(const UpstreamProfile& upstream, std::string_view label) {
  return label.empty() ||
         std::ranges::find(upstream.labels, label) != upstream.labels.end();
}

class DirectEntry::Impl {
 public:
  Impl(Peer self, const DirectEntrySettings& settings, TaskNamer name_task)
      : self_(std::move(self)),
        settings_(settings),
        name_task_(std::move(name_task)),
        handover_(self_, settings.handover, settings.times.OrphanBound()) {}

  void OnJob(Instant now, WallTime wall, JobRequest spec);
  void OnCallerGone(Instant now, uint64_t request);
  bool Cancel(Instant now, std::string_view id);
  void OnMessage(Instant now, const SidecarMessage& message);
  void OnHandoverMessage(Instant now,
                         WallTime wall,
                         const HandoverMessage& message) {
    HandleHandoverEvents(now, wall, handover_.OnMessage(now, message));
  }
  void OnEntryLoad(Instant now,
                   const Peer& entry,
                   const ZoneName& zone,
                   const EntryLoad& load) {
    handover_.OnEntryLoad(now, entry, zone, load);
  }
  void OnNotSent(Instant now,
                 const InstanceName& to,
                 const EntryMessage& message);
  void OnNotSent(Instant now,
                 const InstanceName& to,
                 const HandoverMessage& message) {
    handover_.OnNotSent(now, to, message);
  }
  EntryLoad Load(Instant now) const;
  void SetPressure(Instant now, double pressure) {
    host_pressure_ = pressure;
    BeginStep(now);
  }
  void BeginStop() { is_stopping_ = true; }
  void AddSidecars(Instant now, std::span<const InstanceName> names);
  void SetZonesOut(std::set<ZoneName> zones) {
    zones_out_ = std::move(zones);
    upstreams_.TouchAll();
  }
  void SetControlPosition(const ControlPosition& position) {
    control_ = position;
  }
  void SetLoadSharing(bool on) { load_sharing_ = on; }
  /// Begins the handling of an event: measures how late it is handled.
  void BeginStep(Instant now);
  void OnMessagesRead(Instant now, size_t messages, bool more_left) {
    overload_.OnMessagesRead(now, messages, more_left);
  }
  void OnWakeup(Instant now);
  Instant NextWakeup() const;
  /// Records that the host was asked to call OnWakeup() by `due`.
  void RecordRequestedWakeup(Instant due);
  const policy::OverloadDetector& overload() const { return overload_; }
  void FlushEffects(Instant now, EntryEffects& effects);
  size_t CountWaitingJobs(std::string_view service) const;
  uint64_t examined_candidates() const { return upstreams_.examined(); }
  DirectEntryStatus Status(Instant now) const;

 private:
  // Jobs.
  void Answer(Instant now,
              DirectJob& job,
              JobOutcome outcome,
              std::string_view cause);
  void Refuse(Instant now, DirectJob& job, std::string_view cause);
  void LogAnswer(Instant now,
                 const DirectJob& job,
                 const AnswerJobEffect& answer);
  /// Adds the state that led to an outcome other than kCompleted.
  LogLine AddDecisionContext(Instant now,
                             const DirectJob& job,
                             LogLine line) const;
  /// Logs all decisions on a job that ends otherwise than in time.
  void LogHistory(const DirectJob& job);
  void LogPlacement(Instant now,
                    DirectJob& job,
                    size_t tasks,
                    const std::map<InstanceName, Offer>& offers);
  /// Formats the number of placed tasks per sidecar as `sidecar:tasks`,
  /// separated by spaces.
  static std::string FormatPlacedTasks(const DirectJob& job);
  void StopAndRemove(Instant now, DirectJob& job);
  void Enqueue(const DirectJob& job);
  policy::WaitingJob QueueEntryFor(const DirectJob& job) const;
  /// Returns true if a job waits for upstreams of the service.
  bool IsWaitedFor(std::string_view service);
  /// Returns true when a task of the job may have run: one is offered or
  /// running now, or DirectJob::started is set.
  static bool MayHaveRun(const DirectJob& job);
  Duration MaxWait(const JobRequest& spec) const;
  /// Returns false when no known upstream of the job's service can ever run
  /// some step: each is too small or lacks the label. Returns true before the
  /// first sidecar is heard, and as long as one may still find its upstream.
  bool CanEverFit(Instant now, const DirectJob& job) const;
  /// Returns true when the entry itself is so late that a job which has just
  /// been read can't be answered in time.
  bool IsTooLateFor(Instant now, const JobRequest& spec) const;
  void ExpireJobs(Instant now);

  uint64_t FirstRunNumberOf(WallTime wall, std::string_view job) const;
  /// What the removal of a request means for its job.
  struct RequestRemoval {
    /// kNotRun or kDropped, the latter also when the job is unknown or
    /// continues for other requests.
    HandoverEnd end = HandoverEnd::kDropped;
    /// Id of the job; empty unless it was removed.
    std::string job;
    uint64_t next_run = 0;
  };
  /// Removes a request that waits for a job of this entry, and the job unless
  /// another request waits for it.
  RequestRemoval RemoveRequest(Instant now, uint64_t request);

  // Handover.
  /// Sends an outcome to the callers, or to the entries that have handed the
  /// job over. `next_run` is the job's next run number.
  void SendAnswers(Instant now,
                   std::span<const uint64_t> requests,
                   AnswerJobEffect answer,
                   uint64_t next_run);
  /// Hands a new job to another entry if the pressure here calls for it.
  bool TryHandOver(Instant now, WallTime wall, const JobRequest& spec);
  /// Does the same for waiting jobs of which no task was ever offered.
  void HandOverWaitingJobs(Instant now);
  bool MayHandOver(const JobRequest& spec) const;
  InstanceName ChooseTarget(Instant now, const InstanceName& excluded);
  /// Hands over a job. `stage` is logged: `new`, `waiting` or, after a first
  /// target has declined it, `declined`.
  void SendRelay(Instant now, Relay relay, std::string_view stage);
  void HandleHandoverEvents(Instant now, WallTime wall, HandoverEvents events);
  void HandleHandoverEvent(Instant now, WallTime wall, JobOfferedEvent& event);
  void HandleHandoverEvent(Instant now, WallTime wall, HolderGoneEvent& event);
  void HandleHandoverEvent(Instant now,
                           WallTime wall,
                           RelayAnsweredEvent& event);
  void HandleHandoverEvent(Instant now,
                           WallTime wall,
                           RelayReturnedEvent& event);
  /// Returns why an offered job is declined; empty when it is taken.
  std::string_view DeclineCause(Instant now,
                                const JobOfferedEvent& event) const;
  void AnswerRelay(Instant now,
                   const Relay& relay,
                   const HandoverResult& result);
  bool RemoveRelayRequest(uint64_t request);
  bool CancelRelay(Instant now, std::string_view id);
  void SendHandoverMessages(Instant now);

  // Placement.
  void PlaceWaitingJobs(Instant now);
  /// Returns true when a waiting task may have a place that it did not have in
  /// the last pass.
  bool MayPlaceMore(Instant now);
  /// Adds the needs of the job's ready tasks to `waiting_needs_`.
  void NoteWaitingNeeds(const DirectJob& job);
  void RebuildWaitingNeeds(Instant now);
  /// Places the ready tasks for which there is capacity that is not reserved in
  /// this pass. Returns true when no ready task is left. Otherwise, if
  /// `reserve` is set, reserves the upstreams that could run the remaining
  /// ones, unless the job only waits for earlier runs of its tasks to stop.
  bool PlaceReadyTasks(Instant now, DirectJob& job, bool reserve);
  /// Returns the ready tasks of a job, and their indices in `ready`.
  std::vector<policy::PlacementTask> DescribeReadyTasks(
      Instant now,
      const DirectJob& job,
      double slow_ratio,
      std::vector<size_t>& ready) const;
  /// Returns the number of placed tasks of the job at each upstream, if any of
  /// `tasks` is limited by it.
  std::map<policy::UpstreamHandle, size_t> CountSiblings(
      const DirectJob& job,
      const UpstreamTable::Service& service,
      std::span<const policy::PlacementTask> tasks) const;
  /// While a queue is confined, marks the upstreams of the containment zone and
  /// restricts the tasks to it or to the others.
  void ApplyContainment(Instant now,
                        const DirectJob& job,
                        UpstreamTable::Service& service,
                        std::span<policy::PlacementTask> tasks);
  void HandleCrashNotice(Instant now,
                         SidecarView& view,
                         const CrashNotice& crash);
  /// Returns the highest run time ratio of an upstream on which a task of the
  /// step ends soon enough: in time for the target, or, once the job can no
  /// longer meet it, for an answer that is still of use. Not below
  /// `slow_ratio`.
  double MaxRunTimeRatio(Instant now,
                         const DirectJob& job,
                         size_t step,
                         double slow_ratio) const;
  bool IsUsable(Instant now, const SidecarView& view) const;
  bool IsUnresponsive(Instant now, const SidecarView& view) const {
    return view.unanswered.Oldest() <
           now - settings_.reply_timeout - own_delay_;
  }
  void SendOffers(Instant now,
                  DirectJob& job,
                  std::span<const size_t> tasks,
                  std::span<SidecarView* const> places);

  // Sidecars.
  void BeginIncarnation(Instant now, SidecarView& view, uint64_t incarnation);
  void HandleReply(Instant now, SidecarView& view, const OfferReply& reply);
  void HandleRefusal(Instant now,
                     SidecarView& view,
                     const TaskRun& run,
                     Refusal refusal);
  void HandleEnd(Instant now, SidecarView& view, const RunEnd& end);
  void HandleTaskEnd(Instant now,
                     SidecarView& view,
                     DirectJob& job,
                     JobTask& task,
                     const RunEnd& end);
  void StopRun(Instant now, SidecarView& view, const TaskRun& run);
  /// Removes the pending stop of a run that has ended or never started; returns
  /// true when there was one.
  bool RemoveStop(SidecarView& view, const TaskRun& run);
  void MakeReady(DirectJob& job, JobTask& task);
  Duration HeartbeatInterval(Instant now, const SidecarView& view) const;
  /// Handles the unfinished runs of a silent sidecar as lost.
  void ExpireSidecar(Instant now, SidecarView& view);
  /// Returns true when the sidecars may have ended sessions because of this
  /// entry's own delay.
  bool MayHaveLostSessions() const;
  /// Returns how long a sidecar with unfinished work of this entry may stay
  /// silent before ExpireSidecar() is called. What this entry itself was late
  /// is added: the messages may have arrived meanwhile.
  Duration SidecarTimeout() const {
    return settings_.times.OrphanBound() + settings_.times.max_offer_age +
           own_delay_;
  }
  /// Tells sidecars of waiting jobs: all of them, or with load sharing as many
  /// as the waiting tasks need.
  void AnnounceWaitingJobs(Instant now);
  /// Distributes the waiting tasks, in placement order, over the sidecars that
  /// could run them; see SidecarView::claimed.
  void AssignClaims(Instant now);
  /// Waiting tasks of one step of a job.
  struct WantedTasks {
    const DirectJob* job = nullptr;
    size_t step = 0;
    uint32_t tasks = 0;
    uint32_t priority = 0;
  };
  std::vector<WantedTasks> FirstWaitingTasks();
  /// Claims capacity for the tasks at several of `views`, beginning at a place
  /// that depends on the job.
  void AssignClaim(const WantedTasks& wanted,
                   std::span<SidecarView* const> views);
  /// Returns the sidecars at which capacity for tasks of the step can be used.
  std::vector<SidecarView*> ClaimableSidecars(Instant now,
                                              const DirectJob& job,
                                              size_t step);
  std::vector<Claim> ComposeClaims(Instant now, const SidecarView& view) const;
  /// Returns when the claims are to be assigned again.
  Instant NextClaims() const;
  /// Adds the stops and offers that are due to a message, as many as fit, and
  /// requests a reply where one is needed to know whether others are lost.
  /// Returns true when more are due.
  bool AddDueItems(Instant now, SidecarView& view, EntryMessage& message);
  /// Withdraws the offers that were lost kMaxOfferSends times.
  void WithdrawLostOffers(Instant now, SidecarView& view);
  /// Removes the offers of a job that were never sent, and returns their runs,
  /// which need not be stopped.
  std::set<TaskRun> RemoveUnsentOffers(SidecarView& view, uint64_t job);
  EntryMessage ComposeMessage(Instant now, SidecarView& view, bool& has_more);
  /// Sends the messages to a sidecar that are due.
  void SendMessages(Instant now, SidecarView& view);

  const Peer self_;
  const DirectEntrySettings settings_;
  const TaskNamer name_task_;
  JobHandover handover_;
  policy::KeptShare kept_share_;
  bool load_sharing_ = false;
  bool is_stopping_ = false;
  uint64_t target_choices_ = 0;
  /// When waiting jobs may be handed over again.
  Instant next_waiting_handover_;
  DirectJobTable jobs_;
  std::map<InstanceName, SidecarView> sidecars_;
  UpstreamTable upstreams_{{.is_usable =
                                [this](Instant now, const SidecarView& view) {
                                  return IsUsable(now, view);
                                },
                            .reply_timeout = settings_.reply_timeout}};
  policy::WaitingJobQueue wait_queue_;
  policy::RetryAfterEstimator retry_after_;
  policy::CrashContainment containment_;
  policy::OverloadDetector overload_;
  std::set<std::pair<Instant, uint64_t>> deadlines_;
  /// Task names of the runs of removed jobs that are not known to have ended,
  /// one per run. When the caller resends such a job, its tasks have the same
  /// names and are not placed as long as their names are here.
  std::multiset<std::string> stopping_tasks_;
  RecentRunNumbers recent_run_numbers_;
  std::set<ZoneName> zones_out_;
  ControlPosition control_;
  uint64_t last_job_number_ = 0;
  uint64_t last_offer_id_ = 0;
  /// Something changed that may allow a waiting job to be placed.
  bool placement_due_ = false;
  /// The least needs of the waiting tasks of a service.
  struct WaitingNeeds {
    std::string service;
    Resources needs;
  };
  /// No waiting task needs less than all of these.
  std::vector<WaitingNeeds> waiting_needs_;
  Instant waiting_needs_built_at_;
  /// A job began or ceased to wait since the last pass.
  bool waiting_changed_ = false;
  /// UpstreamTable::gains() after the last pass.
  uint64_t gains_tried_ = 0;
  /// When a waiting job may be placed on upstreams that were too slow for it or
  /// reserved, without any change.
  Instant recheck_at_;
  /// What NextWakeup() returned last; Instant::max() before.
  Instant requested_wakeup_ = Instant::max();
  Instant last_step_;
  /// See DirectEntry::SetPressure().
  double host_pressure_ = 0;
  /// OverloadDetector::OwnDelay() at the last step.
  Duration own_delay_{0};
  bool announced_waiting_ = false;
  Instant waiting_announced_at_;
  Instant claims_assigned_at_;
  /// Some SidecarView::claimed may not be empty.
  bool has_claims_ = false;
  EntryEffects effects_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_DIRECT_ENTRY_IMPL_H_

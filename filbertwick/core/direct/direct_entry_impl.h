#ifndef FILBERTWICK_CORE_DIRECT_DIRECT_ENTRY_IMPL_H_
#define FILBERTWICK_CORE_DIRECT_DIRECT_ENTRY_IMPL_H_

// The state behind DirectEntry; for its own sources only.

#include <algorithm>
#include <cassert>
#include <iterator>
#include <map>
#include <ranges>
#include <utility>
#include <vector>

#include "filbertwick/core/direct/direct_entry.h"
#include "filbertwick/core/direct/direct_job_table.h"
#include "filbertwick/core/direct/sidecar_view.h"
#include "filbertwick/core/policy/retry_after_estimator.h"
#include "filbertwick/core/policy/task_placement.h"
#include "filbertwick/core/policy/waiting_job_queue.h"

namespace filbertwick::core::direct {

class DirectEntry::Impl {
 public:
  Impl(Peer self, const DirectEntrySettings& settings, TaskNamer name_task)
      : self_(std::move(self)),
        settings_(settings),
        name_task_(std::move(name_task)) {}

  void OnJob(Instant now, WallTime wall, JobRequest spec);
  void OnCallerGone(Instant now, uint64_t request);
  bool Cancel(Instant now, std::string_view id);
  void OnMessage(Instant now, const SidecarMessage& message);
  void AddSidecars(Instant now, std::span<const InstanceName> names);
  void SetZonesOut(std::set<ZoneName> zones) { zones_out_ = std::move(zones); }
  void SetControlPosition(const ControlPosition& position) {
    control_ = position;
  }
  void OnWakeup(Instant now);
  Instant NextWakeup() const;
  void Finish(Instant now, EntryEffects& effects);
  size_t CountWaitingJobs(std::string_view service) const;
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
  /// Adds what decided an answer that is not the caller's wish.
  LogLine AddCircumstances(Instant now,
                           const DirectJob& job,
                           LogLine line) const;
  void LogPlacement(Instant now,
                    const DirectJob& job,
                    size_t tasks,
                    const std::map<InstanceName, Offer>& offers);
  /// Where the job's unfinished tasks are, as `sidecar:tasks` with spaces.
  static std::string PlacesOf(const DirectJob& job);
  void Drop(Instant now, DirectJob& job);
  void Wait(const DirectJob& job);
  policy::WaitingJob RankOf(const DirectJob& job) const;
  /// A sidecar has taken a task, or may have.
  static bool MayHaveRun(const DirectJob& job);
  Duration LongestWait(const JobRequest& spec) const;
  bool CanEverFit(const DirectJob& job) const;
  void ExpireJobs(Instant now);

  // Placement.
  void PlaceWaiting(Instant now);
  /// Places what has room; true when nothing of the job is left waiting.
  bool Place(Instant now, DirectJob& job);
  bool IsUsable(Instant now, const SidecarView& view) const;
  bool IsSilent(Instant now, const SidecarView& view) const {
    return view.asked < now - settings_.silent_after;
  }
  void SendOffers(Instant now,
                  DirectJob& job,
                  std::span<const size_t> tasks,
                  std::span<SidecarView* const> places);

  // Sidecars.
  void BeginLife(SidecarView& view, uint64_t incarnation);
  void TakeReply(Instant now, SidecarView& view, const OfferReply& reply);
  void TakeRefusal(const TaskRun& run, Refusal refusal);
  void TakeEnd(Instant now, SidecarView& view, const RunEnd& end);
  void TakeTaskEnd(Instant now,
                   SidecarView& view,
                   DirectJob& job,
                   JobTask& task,
                   const RunEnd& end);
  void StopRun(Instant now, SidecarView& view, const TaskRun& run);
  /// The run is gone; true when it was to be stopped.
  bool ForgetStop(SidecarView& view, const TaskRun& run);
  void ReadyAgain(DirectJob& job, JobTask& task);
  Duration BeatInterval(Instant now, const SidecarView& view) const;
  void GiveUpOn(Instant now, SidecarView& view);
  Duration GiveUpAfter() const {
    return settings_.times.Bound() + settings_.times.offer_valid;
  }
  void Announce(Instant now);
  EntryMessage Compose(Instant now, SidecarView& view);

  const Peer self_;
  const DirectEntrySettings settings_;
  const TaskNamer name_task_;
  DirectJobTable jobs_;
  std::map<InstanceName, SidecarView> sidecars_;
  policy::WaitingJobQueue line_;
  policy::RetryAfterEstimator retry_after_;
  std::set<std::pair<Instant, uint64_t>> deadlines_;
  /// Tasks of jobs that are gone whose runs are not known to have ended.
  std::multiset<std::string> stopping_;
  std::set<ZoneName> zones_out_;
  ControlPosition control_;
  uint64_t last_job_ = 0;
  uint64_t last_offer_ = 0;
  /// Something changed that may let a waiting job be placed.
  bool place_due_ = false;
  bool told_waiting_ = false;
  Instant waiting_told_;
  EntryEffects effects_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_DIRECT_ENTRY_IMPL_H_

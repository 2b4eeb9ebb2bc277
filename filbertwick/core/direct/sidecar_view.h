#ifndef FILBERTWICK_CORE_DIRECT_SIDECAR_VIEW_H_
#define FILBERTWICK_CORE_DIRECT_SIDECAR_VIEW_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <ranges>
#include <set>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/message.h"
#include "filbertwick/core/policy/resend_timer.h"
#include "filbertwick/core/policy/send_window.h"
#include "filbertwick/core/policy/unanswered_requests.h"
#include "filbertwick/core/policy/upstream_speed.h"

namespace filbertwick::core::direct {

/// An offer without a reply so far.
struct OpenOffer {
  Offer offer;
  /// Runs of the offer that have ended. They stay in `offer`, whose order of
  /// tasks is that of the reply.
  std::set<TaskRun> ended;
  policy::ResendTimer resend;
  /// The job that the tasks belong to.
  uint64_t job = 0;
  /// Encoded size of the offer.
  size_t bytes = 0;
  /// How often the offer was sent.
  uint32_t sends = 0;
  /// The job was removed, or the offer stayed unanswered too often, so all runs
  /// of the offer are to be stopped. It is not resent: a sidecar that has
  /// forgotten the stops by then would start them.
  bool is_withdrawn = false;
};

/// Waiting tasks for which an entry claims capacity at a sidecar.
struct ClaimedTasks {
  uint64_t job = 0;
  size_t step = 0;
  uint32_t tasks = 0;
  /// See Claim::priority.
  uint32_t priority = 0;
};

using policy::kSlowRunTimeFactor;

/// Time within which a started sidecar finds its upstream, if that lives:
/// longer than the interval of announcements.
inline constexpr Duration kUpstreamDiscoveryTime = std::chrono::seconds(2);

/// A flag that enters its owner into a list when it is set, so that the owners
/// with a set flag are found without a visit to all.
class ListedFlag {
 public:
  /// Sets the list, which must outlive the flag, and the owner's number in it.
  void Attach(std::vector<uint32_t>& list, uint32_t owner) {
    list_ = &list;
    owner_ = owner;
    if (value_) {
      list_->push_back(owner_);
    }
  }
  ListedFlag& operator=(bool value) {
    if (value && !value_ && list_ != nullptr) {
      list_->push_back(owner_);
    }
    value_ = value;
    return *this;
  }
  ListedFlag& operator|=(bool value) { return *this = value_ || value; }
  explicit operator bool() const { return value_; }

 private:
  bool value_ = false;
  std::vector<uint32_t>* list_ = nullptr;
  uint32_t owner_ = 0;
};

/// An entry's knowledge of a sidecar, and the entry's unfinished work there.
struct SidecarView {
  InstanceName name;
  /// Position in the order of names; see UpstreamTable.
  uint32_t handle = 0;
  /// 0 until the first message from the sidecar.
  uint64_t incarnation = 0;
  /// Newest reading of the sidecar's clock.
  ClockReading clock = 0;
  Instant last_heard;
  /// When this incarnation of the sidecar was first heard; before that, when
  /// the sidecar was added.
  Instant found_at;
  /// Send time of the newest message that the sidecar is known to have
  /// received.
  Instant newest_echo = Instant::min();
  /// The unanswered messages that ask for a reply or contain offers.
  policy::UnansweredRequests unanswered;
  bool accepts_tasks = false;
  UpstreamProfile upstream;
  /// Free resources as last reported, less those of unanswered offers.
  Resources free;
  /// What the next message to the sidecar claims, with load sharing; at most
  /// kMaxClaims.
  std::vector<ClaimedTasks> claimed;
  /// The newest message to the sidecar had claims.
  bool has_claims = false;
  /// Number of the newest crash of its upstream that was recorded.
  uint64_t last_crash = 0;
  /// Highest number of an end received in this session; the next message
  /// acknowledges it.
  uint64_t acknowledged_end = 0;
  std::map<uint64_t, OpenOffer> offers;
  /// Runs that the sidecar has accepted and that have not ended.
  std::set<TaskRun> runs;
  /// Placed runs of tasks that may have crashed an upstream.
  std::set<TaskRun> suspect_runs;
  /// Runs to be stopped whose end is not reported yet.
  std::map<TaskRun, policy::ResendTimer> stops;
  /// Unfinished runs from an earlier incarnation of the sidecar. They have
  /// certainly ended once the present incarnation accepts tasks, since it first
  /// stops all runs that it finds at the upstream.
  std::set<TaskRun> unconfirmed_runs;
  /// A message to the sidecar is sent with the present effects.
  ListedFlag send_due;
  /// That message requests a reply.
  bool wants_reply = false;
  /// Smoothed ratio of actual to estimated run times; below 1 is fast.
  double run_time_ratio = 1;
  /// Ratio above which the newest run weighs more, because a slow upstream gets
  /// few runs.
  double few_runs_ratio = kSlowRunTimeFactor;
  /// When the run ended that changed the ratio last.
  Instant run_time_measured_at;
  /// Runs in a row that ended other than with EndKind::kDone.
  uint32_t consecutive_failures = 0;
  /// Until then the sidecar gets only tasks that fit nowhere else. Instant()
  /// before the first series of failures and after every completed run.
  Instant avoid_until;
  Instant heartbeat_due;
  /// When received ends must be acknowledged; Instant::max() when none are
  /// unacknowledged.
  Instant ack_due = Instant::max();
  /// Until then nothing is due again: the last messages were as many as may be
  /// sent at once, and more are waiting.
  Instant paced_until = Instant::min();

  /// Returns true when the sidecar may have an upstream that is not known yet.
  bool MayFindUpstream(Instant now) const {
    return upstream.service.empty() && now - found_at < kUpstreamDiscoveryTime;
  }
  /// Returns true when the sidecar should get no task. Here and below,
  /// `slow_ratio` is the run time ratio above which an upstream is slow.
  bool ShouldAvoid(Instant now, double slow_ratio) const {
    return now < avoid_until || (IsOnProbation(now, slow_ratio) && IsBusy());
  }
  /// Returns true when the sidecar failed repeatedly and has completed no run
  /// since, or when it was slow and was not used for a while. While on
  /// probation it is given one task at a time.
  bool IsOnProbation(Instant now, double slow_ratio) const {
    return avoid_until != Instant() || IsSpeedUnknown(now, slow_ratio);
  }
  /// Returns true when the sidecar was so slow that it is hardly used, and its
  /// speed may have changed since.
  bool IsSpeedUnknown(Instant now, double slow_ratio) const;
  /// Returns when one of the above may change next by the time alone;
  /// Instant::max() when none does.
  Instant NextTimedChange(Instant now, double slow_ratio) const;
  /// Returns every run that is offered, accepted, unconfirmed or to be stopped,
  /// and clears `offers`, `runs`, `suspect_runs` and `unconfirmed_runs`;
  /// `stops` stays.
  std::set<TaskRun> TakeUnfinishedRuns();

  /// Calls `visit` with every offer that may be sent, oldest first: those that
  /// are unanswered, and as many others as the window admits.
  template <typename Visit>
  void ForEachSendableOffer(Visit visit) {
    VisitSendableOffers(offers, visit);
  }
  /// Calls `visit` with the timer of each of these offers and of every stop.
  template <typename Visit>
  void ForEachResend(Visit visit) {
    VisitSendableOffers(offers, [&](OpenOffer& open) { visit(open.resend); });
    std::ranges::for_each(stops | std::views::values, visit);
  }
  template <typename Visit>
  void ForEachResend(Visit visit) const {
    VisitSendableOffers(offers,
                        [&](const OpenOffer& open) { visit(open.resend); });
    std::ranges::for_each(stops | std::views::values, visit);
  }
  /// Returns when an item is due that `resend` belongs to.
  Instant DueTime(const policy::ResendTimer& resend) const {
    return std::max(resend.due(), paced_until);
  }

  /// Records that the sidecar has received the messages sent up to `echo`.
  void RecordEcho(Instant now, Instant echo);

  /// Returns true when this entry has unfinished work at the sidecar.
  bool IsBusy() const {
    return !offers.empty() || !runs.empty() || !stops.empty() ||
           !unconfirmed_runs.empty();
  }

 private:
  template <typename Offers, typename Visit>
  static void VisitSendableOffers(Offers& all, Visit visit) {
    policy::SendWindow window;
    for (auto& open : all | std::views::values) {
      if (open.is_withdrawn) {
        continue;
      }
      if (open.sends == 0 && !window.Admits(open.bytes)) {
        return;
      }
      window.Add(open.bytes);
      visit(open);
    }
  }
};

/// Updates the run time ratio and the failure state of a sidecar's upstream
/// from the end of a run. `estimate` is the task's estimated run time.
void RecordRunEnd(Instant now,
                  const RunEnd& end,
                  Duration estimate,
                  SidecarView& view);

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_SIDECAR_VIEW_H_

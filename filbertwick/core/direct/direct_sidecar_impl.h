#ifndef FILBERTWICK_CORE_DIRECT_DIRECT_SIDECAR_IMPL_H_
#define FILBERTWICK_CORE_DIRECT_DIRECT_SIDECAR_IMPL_H_

// Private state of DirectSidecar; include it only from its own sources.

#include <algorithm>
#include <cassert>
#include <iterator>
#include <map>
#include <optional>
#include <ranges>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "filbertwick/core/direct/direct_sidecar.h"
#include "filbertwick/core/direct/run_table.h"
#include "filbertwick/core/direct/session_table.h"
#include "filbertwick/core/policy/message_budget.h"
#include "filbertwick/wire/archive.h"

namespace filbertwick::core::direct {

/// Whether the upstream can take tasks, and if not, why.
enum class UpstreamState : uint8_t {
  /// No upstream is known, or it has shut down.
  kNoUpstream,
  /// The runs at the upstream are not known yet. Runs that are not in the run
  /// table are stopped; no task starts until a listing shows none of them.
  kSyncing,
  kReady,
  /// The lease is no longer renewed, because a run that must be stopped is not
  /// proved to have ended in time, or because listings fail.
  kLeaseExpiring,
};

/// The present incarnation of the upstream beside this sidecar.
struct Upstream {
  std::string id;
  int64_t started_unix_millis = 0;
  uint64_t sequence = 0;
  bool draining = false;
  /// When a request announced the departure of the upstream. It names only the
  /// id, and may come late from an earlier incarnation, so no task starts until
  /// a listing requested later shows that the upstream still runs.
  std::optional<Instant> departure_announced_at;
  UpstreamProfile profile;
  /// Newest reading of the upstream's clock, and when it arrived here.
  UpstreamMillis clock = 0;
  Instant clock_read;
  /// Highest number of a listed end.
  uint64_t last_listed_end = 0;
  /// False when the present incarnation is known from a listing only. Its
  /// profile is not known then: a restarted upstream may differ in kind and
  /// capacity.
  bool has_profile = true;
};

/// A list command without an answer so far.
struct OpenListing {
  Instant sent_at;
  Instant deadline;
  uint64_t fencing_token = 0;
  /// The upstream may hold the answer back until a run ends.
  bool long_wait = false;
};

/// An announced process that has not proved yet to be the one at the upstream's
/// address. It is asked for a listing, its identity check.
struct Candidate {
  UpstreamAnnouncement announcement;
  /// Number of the unanswered check; 0 when there is none.
  uint64_t open_check = 0;
  uint64_t check_token = 0;
  /// When the open check times out, or the next one is due.
  Instant check_due;
  Instant expires_at;
};

/// A run that was lost with its upstream.
struct LostRun {
  ActiveRun run;
  EndKind kind = EndKind::kLost;
  /// See RunEnd::crash_suspects.
  uint32_t crash_suspects = 0;
};

class DirectSidecar::Impl {
 public:
  Impl(Peer self,
       uint64_t first_token,
       const DirectSidecarSettings& settings,
       DirectSidecarHooks hooks)
      : self_(std::move(self)),
        settings_(settings),
        hooks_(std::move(hooks)),
        fencing_token_(first_token) {}

  void OnMessage(Instant now, const EntryMessage& message);
  void OnNotSent(Instant now,
                 const InstanceName& to,
                 const SidecarMessage& message);
  void OnUpstreamAnnounced(Instant now,
                           const UpstreamAnnouncement& announcement);
  void RestoreUpstream(Instant now, const UpstreamAnnouncement& recorded);
  void OnUpstreamLeft(Instant now, std::string_view id);
  void OnCommandResult(Instant now,
                       uint64_t number,
                       CommandResult result,
                       UpstreamMillis clock);
  void OnListing(Instant now,
                 uint64_t number,
                 const Listing& listing,
                 UpstreamMillis clock);
  void OnListingFailed(Instant now, uint64_t number, CommandResult result);
  void OnWakeup(Instant now);
  Instant NextWakeup() const;

  /// Sends the messages and listings that are due and moves all effects out.
  void FlushEffects(Instant now, SidecarEffects& effects);

  void SetPlacementAllowed(bool allowed) {
    const bool accepted = AcceptsTasks();
    placement_allowed_ = allowed;
    UpdateHasRoute();
    if (AcceptsTasks() != accepted) {
      NotifyAllEntries();
    }
  }
  void SetControlPosition(const ControlPosition& position) {
    control_ = position;
  }
  void Stop() {
    shutting_down_ = true;
    NotifyAllEntries();
  }
  DirectSidecarStatus Status() const {
    return {AcceptsTasks(), run_table_.runs().size(), sessions_.all().size(),
            grants_.figures()};
  }

 private:
  bool AcceptsTasks() const {
    return state_ == UpstreamState::kReady && placement_allowed_ &&
           has_route_ && !shutting_down_ && !upstream_->draining &&
           !upstream_->departure_announced_at && upstream_->has_profile;
  }
  void UpdateHasRoute() {
    has_route_ = upstream_ && hooks_.has_route_to(upstream_->profile.service);
  }
  void NotifyAllEntries() {
    for (Session& session : sessions_.all() | std::views::values) {
      session.send_due = true;
    }
  }

  // Entries.
  void HandleOffer(Instant now,
                   Session& session,
                   ClockReading echoed_clock,
                   const Offer& offer);
  Refusal DecideRefusal(const Session& session,
                        const Offer& offer,
                        const OfferedTask& task,
                        bool is_fresh);
  void HandleStop(Instant now, Session& session, const TaskRun& run);
  void StopRunsOf(Instant now, const Peer& owner);
  void StopRunsOfOtherIncarnations(Instant now, const Peer& current);
  void ExpireSilentSessions(Instant now);
  /// Returns a message to the entry of a session, without ends and replies.
  SidecarMessage ComposeMessage(Instant now, const Session& session);
  /// Sends the ends and replies that are due to the entry of a session.
  void SendMessages(Instant now, Session& session);
  /// Ends the grants whose lease is over, and reports their capacity to all
  /// entries that claim any.
  void ExpireGrants(Instant now);
  /// Grants free capacity to the claims of the entries, which are notified.
  void GrantFreeCapacity(Instant now);

  // Incarnations of the upstream.
  /// Handles an announcement of the present upstream.
  void UpdateUpstream(Instant now, const UpstreamAnnouncement& announcement);
  /// Adds a candidate and checks its identity, or renews it.
  void AddCandidate(Instant now, const UpstreamAnnouncement& announcement);
  void RemoveCandidate(const Candidate& candidate);
  /// Returns the candidate with the open check `check`, or null.
  Candidate* FindCandidate(uint64_t check);
  void SendIdentityCheck(Instant now, Candidate& candidate);
  void OnIdentityChecked(Instant now,
                         Candidate& candidate,
                         const Listing& listing,
                         UpstreamMillis clock);
  void OnIdentityCheckFailed(Instant now,
                             Candidate& candidate,
                             CommandResult result);
  /// Drops expired candidates and repeats checks that are due.
  void CheckCandidates(Instant now);
  void LogRejectedAnnouncement(const UpstreamAnnouncement& announcement,
                               std::string_view cause);
  /// Replaces the upstream. The announced process must have proved its
  /// identity.
  void BeginIncarnation(Instant now, const UpstreamAnnouncement& announcement);
  /// Returns false, and begins a new incarnation, when a listing shows that the
  /// upstream has restarted.
  bool CheckStartTime(Instant now,
                      const Listing& listing,
                      UpstreamMillis clock);
  void BeginUnannouncedIncarnation(Instant now,
                                   int64_t started_unix_millis,
                                   UpstreamMillis clock);
  /// An answered listing, requested at `listing_requested_at`, shows that the
  /// upstream still runs.
  void CheckDeparture(Instant listing_requested_at);
  /// Ends the use of an upstream that has announced its departure and has gone;
  /// no run may be left.
  void CompleteDeparture();
  /// Emits a RecordUpstreamEffect with the present upstream.
  void RecordUpstream();
  /// Logs the profile of the present upstream under `event`.
  void LogProfile(std::string_view event);

  // The upstream.
  /// Releases all runs and reports them as ended with `kind`, kLost or
  /// kCrashed; call only when the upstream certainly runs none of them any
  /// more.
  void DropAllRuns(Instant now, EndKind kind, std::string_view cause);
  /// Tells the entries that the upstream has crashed, unless they know.
  void NoticeCrash(Instant now);
  /// Moves all runs out of the run table and logs which tasks are lost, and
  /// why.
  void TakeLostRuns(Instant now, EndKind kind, std::string_view cause);
  /// Returns how runs have ended that an upstream leaves behind which has been
  /// replaced or refuses connections.
  EndKind KindOfLoss() const {
    return upstream_ &&
                   (upstream_->draining || upstream_->departure_announced_at)
               ? EndKind::kLost
               : EndKind::kCrashed;
  }
  /// Reports the runs in `unreported_lost_runs_` to their entries as lost.
  void ReportLostRuns(Instant now);
  void BeginSync(Instant now);
  void BeginLeaseExpiry(Instant now, std::string_view cause);
  /// Returns the header of a command to the upstream `id`.
  CommandHeader NextHeader(const std::string& id) {
    return {++last_command_, id, fencing_token_};
  }
  void RaiseFencingToken();
  /// Returns the end of a lease that is granted or renewed at `now`, on the
  /// upstream's clock, and moves `lease_end_` accordingly.
  UpstreamMillis ExtendLease(Instant now);
  void RecordUpstreamClock(Instant now, UpstreamMillis clock);
  void SendStartCommand(Instant now, ActiveRun& run);
  /// Sends an unanswered start command again, or stops the run when it was sent
  /// often enough: the upstream may still carry a command out.
  void RetryStart(Instant now, ActiveRun& run);
  void OnStartAnswered(Instant now, ActiveRun& run, CommandResult result);
  /// Sends a stop command, unless the run is being stopped already. The command
  /// is resent until the run has ended, however long that takes.
  void BeginStop(Instant now, ActiveRun& run);
  /// Like BeginStop(), for a run that must have ended before its caller resends
  /// the job: when it is not proved to have ended within
  /// SessionTimes::stop_confirm_timeout, the lease is left to expire.
  void RequireStop(Instant now, ActiveRun& run);
  void SendStopCommand(Instant now, ActiveRun& run);
  void SendListCommand(Instant now, Duration wait);
  void ListIfDue(Instant now);
  void HandleListedRun(Instant now, const ListedRun& listed);
  void StopForeignRun(Instant now, const TaskRun& run);
  /// Ends the runs whose absence from a listing requested at `requested_at`
  /// proves their end; see ActiveRun::confirmed_at.
  void EndUnlistedRuns(Instant now,
                       Instant requested_at,
                       const std::set<TaskRun>& listed_runs);
  void CheckProgress(Instant now, ActiveRun& run, int64_t percent);
  void EndRun(Instant now, const TaskRun& run, EndKind kind);
  void CheckCommandTimeouts(Instant now);
  void CheckListingTimeouts(Instant now);
  void CheckLease(Instant now);
  /// Returns true when no process accepts connections in place of the upstream.
  bool IsUpstreamGone() const;
  /// Returns true when listings are needed: to learn of ends, to renew the
  /// lease or to know whether the upstream still runs.
  bool NeedsListings() const {
    return state_ == UpstreamState::kSyncing || !run_table_.runs().empty() ||
           upstream_->departure_announced_at;
  }
  /// Returns true when a run that must be stopped has not ended within
  /// SessionTimes::stop_confirm_timeout.
  bool HasOverdueStop(Instant now) const;

  const Peer self_;
  const DirectSidecarSettings settings_;
  const DirectSidecarHooks hooks_;
  uint64_t fencing_token_;
  uint64_t last_command_ = 0;
  UpstreamState state_ = UpstreamState::kNoUpstream;
  bool placement_allowed_ = false;
  /// The configuration has a route to the service of the upstream.
  bool has_route_ = false;
  bool shutting_down_ = false;
  std::optional<Upstream> upstream_;
  std::vector<Candidate> candidates_;
  RunTable run_table_;
  /// Lost runs of an earlier incarnation of the upstream that delayed commands
  /// may still start in the present one. They are reported once a listing shows
  /// that the present incarnation runs no task.
  std::vector<LostRun> unreported_lost_runs_;
  SessionTable sessions_;
  policy::CapacityGrants grants_;
  /// Free resources when they were granted last; more since then have become
  /// free.
  Resources granted_from_;
  ControlPosition control_;
  /// Runs of unanswered start and stop commands, by command number.
  std::map<uint64_t, TaskRun> pending_commands_;
  std::map<uint64_t, OpenListing> listings_;
  /// Earliest time of the next periodic list command; see ListIfDue().
  Instant next_listing_;
  /// Send time of the first listing of the present series of failures; unset
  /// while listings are answered.
  std::optional<Instant> listings_failing_since_;
  /// The newest crash of an upstream.
  CrashNotice crash_;
  Instant crash_noticed_at_;
  /// The crash of the present upstream is in `crash_`.
  bool crash_noticed_ = false;
  /// When the first listing of the present series of failures failed.
  Instant listings_broken_at_;
  /// Listings in a row that no process accepted. Once the upstream is gone,
  /// only an answered listing resets them.
  uint32_t unreached_listings_ = 0;
  /// Listings are short until then, because one was not answered.
  Instant short_listings_until_;
  /// No run continues beyond this time under the leases granted so far.
  Instant lease_end_;
  /// Late commands for an earlier incarnation with the same id may have
  /// extended the lease of the present one: they name a time on the earlier
  /// clock.
  bool lease_unknown_ = false;
  SidecarEffects effects_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_DIRECT_SIDECAR_IMPL_H_

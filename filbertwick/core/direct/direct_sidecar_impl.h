#ifndef FILBERTWICK_CORE_DIRECT_DIRECT_SIDECAR_IMPL_H_
#define FILBERTWICK_CORE_DIRECT_DIRECT_SIDECAR_IMPL_H_

// The state behind DirectSidecar; for its own sources only.

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
#include "filbertwick/core/direct/run_ledger.h"
#include "filbertwick/core/direct/session_book.h"

namespace filbertwick::core::direct {

/// Whether tasks may start at the upstream, and why not.
enum class UpstreamState : uint8_t {
  /// No upstream is known.
  kNoUpstream,
  /// What runs there is not known yet.
  kSyncing,
  kReady,
  /// The lease is left to lapse, since a stop is not confirmed or the upstream
  /// is silent.
  kLeaseExpiring,
};

/// The life of the upstream beside this sidecar.
struct Upstream {
  std::string id;
  int64_t born_unix_millis = 0;
  uint64_t sequence = 0;
  bool draining = false;
  UpstreamProfile profile;
  /// A reading of its clock and when it came.
  UpstreamMillis clock = 0;
  Instant clock_read;
  /// Highest number of an end seen.
  uint64_t ends_seen = 0;
};

/// A listing that was asked for.
struct OpenListing {
  Instant sent_at;
  Instant deadline;
  bool long_wait = false;
};

class DirectSidecar::Impl {
 public:
  Impl(Peer self, uint64_t first_token, const DirectSidecarSettings& settings)
      : self_(std::move(self)),
        settings_(settings),
        fencing_token_(first_token) {}

  void OnMessage(Instant now, const EntryMessage& message);
  void OnAnnounced(Instant now, const UpstreamAnnouncement& announcement);
  void OnLeft(Instant now, std::string_view id);
  void OnOrderAnswered(Instant now,
                       uint64_t number,
                       OrderAnswer result,
                       UpstreamMillis clock);
  void OnListed(Instant now,
                uint64_t number,
                const Listing& listing,
                UpstreamMillis clock);
  void OnListingFailed(Instant now, uint64_t number, OrderAnswer result);
  void OnWakeup(Instant now);
  Instant NextWakeup() const;

  /// Sends what is due and hands the effects over.
  void Finish(Instant now, SidecarEffects& effects);

  void SetAllowed(bool allowed) {
    if (placement_allowed_ != allowed) {
      placement_allowed_ = allowed;
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
    return {AcceptsTasks(), run_table_.runs().size(), sessions_.all().size()};
  }

 private:
  bool AcceptsTasks() const {
    return state_ == UpstreamState::kReady && placement_allowed_ &&
           !shutting_down_ && !upstream_->draining;
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
  void StopRunsOfOtherIncarnations(Instant now, const Peer& present);
  void ExpireSilentSessions(Instant now);

  // The upstream.
  void BeginIncarnation(Instant now, const UpstreamAnnouncement& announcement);
  /// All runs are gone for certain.
  void DropAllRuns(Instant now);
  void ReportLostRuns(Instant now);
  void BeginSync(Instant now);
  void BeginLeaseExpiry(Instant now, std::string_view cause);
  OrderStamp NextHeader() {
    return {++last_command_, upstream_->id, fencing_token_};
  }
  UpstreamMillis ExtendLease(Instant now);
  void RecordUpstreamClock(Instant now, UpstreamMillis clock);
  void StartTask(Instant now, HeldRun& run, const std::string& spec);
  /// Stops a run whose outcome its session waits for.
  void BeginStop(Instant now, HeldRun& run);
  /// Stops a run that must be gone before its caller sends it again.
  void RequireStop(Instant now, HeldRun& run);
  void SendStop(Instant now, HeldRun& run);
  void List(Instant now, Duration wait);
  void ListIfDue(Instant now);
  void HandleListedRun(Instant now, const ListedRun& listed);
  void StopForeignRun(Instant now, const TaskRun& run);
  void EndUnlistedRuns(Instant now,
                       Instant requested_at,
                       const std::set<TaskRun>& shown);
  void CheckProgress(Instant now, HeldRun& run, int64_t percent);
  void EndRun(Instant now, const TaskRun& run, EndKind kind);
  void CheckCommandTimeouts(Instant now);
  void CheckListingTimeouts(Instant now);
  void CheckLease(Instant now);
  bool HasOverdueStop(Instant now) const;

  const Peer self_;
  const DirectSidecarSettings settings_;
  uint64_t fencing_token_;
  uint64_t last_command_ = 0;
  UpstreamState state_ = UpstreamState::kNoUpstream;
  bool placement_allowed_ = false;
  bool shutting_down_ = false;
  std::optional<Upstream> upstream_;
  RunLedger run_table_;
  /// Runs that were lost with a life whose late orders may start them again;
  /// told when the next life is known to run nothing.
  std::vector<HeldRun> unreported_lost_runs_;
  SessionBook sessions_;
  ControlPosition control_;
  /// Runs of open start and stop orders.
  std::map<uint64_t, TaskRun> pending_commands_;
  std::map<uint64_t, OpenListing> listings_;
  /// When the next listing may be asked for.
  Instant next_listing_;
  /// Since when listings fail; unset while they are answered.
  std::optional<Instant> listings_failing_since_;
  /// Nothing granted so far runs beyond this.
  Instant lease_end_;
  SidecarEffects effects_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_DIRECT_SIDECAR_IMPL_H_

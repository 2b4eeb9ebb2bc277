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
#include "filbertwick/core/direct/run_table.h"
#include "filbertwick/core/direct/session_table.h"

namespace filbertwick::core::direct {

/// Whether tasks may start at the upstream, and why not.
enum class Mode : uint8_t {
  /// No upstream is known.
  kAbsent,
  /// What runs there is not known yet.
  kSyncing,
  kOpen,
  /// The lease is left to lapse, since a stop is not confirmed or the upstream
  /// is silent.
  kLapsing,
};

/// The life of the upstream beside this sidecar.
struct Upstream {
  std::string id;
  int64_t started_unix_millis = 0;
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
  Instant sent;
  Instant due;
  bool long_wait = false;
};

class DirectSidecar::Impl {
 public:
  Impl(Peer self, uint64_t first_token, const DirectSidecarSettings& settings)
      : self_(std::move(self)), settings_(settings), token_(first_token) {}

  void OnMessage(Instant now, const EntryMessage& message);
  void OnUpstreamAnnounced(Instant now,
                           const UpstreamAnnouncement& announcement);
  void OnUpstreamLeft(Instant now, std::string_view id);
  void OnCommandResult(Instant now,
                       uint64_t number,
                       CommandResult answer,
                       UpstreamMillis clock);
  void OnListing(Instant now,
                 uint64_t number,
                 const Listing& listing,
                 UpstreamMillis clock);
  void OnListingFailed(Instant now, uint64_t number, CommandResult answer);
  void OnWakeup(Instant now);
  Instant NextWakeup() const;

  /// Sends what is due and hands the effects over.
  void Finish(Instant now, SidecarEffects& effects);

  void SetPlacementAllowed(bool allowed) {
    if (allowed_ != allowed) {
      allowed_ = allowed;
      TellAll();
    }
  }
  void SetControlPosition(const ControlPosition& position) {
    control_ = position;
  }
  void Stop() {
    stopping_ = true;
    TellAll();
  }
  DirectSidecarStatus Status() const {
    return {IsOpen(), ledger_.runs().size(), sessions_.all().size()};
  }

 private:
  bool IsOpen() const {
    return mode_ == Mode::kOpen && allowed_ && !stopping_ &&
           !upstream_->draining;
  }
  void TellAll() {
    for (Session& session : sessions_.all() | std::views::values) {
      session.due = true;
    }
  }

  // Entries.
  void TakeOffer(Instant now,
                 Session& session,
                 ClockReading echoed,
                 const Offer& offer);
  Refusal Judge(const Session& session,
                const Offer& offer,
                const OfferedTask& task,
                bool fresh);
  void TakeStop(Instant now, Session& session, const TaskRun& run);
  void Orphan(Instant now, const Peer& owner);
  void OrphanOtherLives(Instant now, const Peer& present);
  void OrphanSilent(Instant now);

  // The upstream.
  void BeginLife(Instant now, const UpstreamAnnouncement& announcement);
  /// All runs are gone for certain.
  void LoseAll(Instant now);
  void TellLost(Instant now);
  void EnterSync(Instant now);
  void EnterLapse(Instant now, std::string_view cause);
  CommandHeader NextStamp() { return {++last_order_, upstream_->id, token_}; }
  UpstreamMillis LeaseUntil(Instant now);
  void ReadClock(Instant now, UpstreamMillis clock);
  void StartTask(Instant now, ActiveRun& run, const std::string& spec);
  /// Stops a run whose outcome its session waits for.
  void DecideStop(Instant now, ActiveRun& run);
  /// Stops a run that must be gone before its caller sends it again.
  void OweStop(Instant now, ActiveRun& run);
  void SendStop(Instant now, ActiveRun& run);
  void List(Instant now, Duration wait);
  void KeepListing(Instant now);
  void TakeListedRun(Instant now, const ListedRun& listed);
  void StopForeign(Instant now, const TaskRun& run);
  void DropVanished(Instant now, Instant asked, const std::set<TaskRun>& shown);
  void WatchProgress(Instant now, ActiveRun& run, int64_t percent);
  void EndRun(Instant now, const TaskRun& run, EndKind kind);
  void WatchOrders(Instant now);
  void WatchListings(Instant now);
  void WatchLapse(Instant now);
  bool HasOverdueStop(Instant now) const;

  const Peer self_;
  const DirectSidecarSettings settings_;
  uint64_t token_;
  uint64_t last_order_ = 0;
  Mode mode_ = Mode::kAbsent;
  bool allowed_ = false;
  bool stopping_ = false;
  std::optional<Upstream> upstream_;
  RunTable ledger_;
  /// Runs that were lost with a life whose late orders may start them again;
  /// told when the next life is known to run nothing.
  std::vector<ActiveRun> unsettled_;
  SessionTable sessions_;
  ControlPosition control_;
  /// Runs of open start and stop orders.
  std::map<uint64_t, TaskRun> orders_;
  std::map<uint64_t, OpenListing> listings_;
  /// When the next listing may be asked for.
  Instant listing_due_;
  /// Since when listings fail; unset while they are answered.
  std::optional<Instant> silent_since_;
  /// Nothing granted so far runs beyond this.
  Instant lease_end_;
  SidecarEffects effects_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_DIRECT_SIDECAR_IMPL_H_

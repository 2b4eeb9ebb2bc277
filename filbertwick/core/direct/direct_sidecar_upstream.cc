#include "filbertwick/core/direct/direct_sidecar_impl.h"
#include "filbertwick/core/direct/names.h"

namespace filbertwick::core::direct {
namespace {

/// Added to a fencing token that the upstream rejects as too low. Tokens start
/// as wall-clock milliseconds, so this is a quarter of an hour; clocks jump
/// back by less.
constexpr uint64_t kFencingTokenRaise = 15ULL * 60 * 1000;
/// Time after the end of a lease until its runs count as ended; covers an
/// upstream with a slow clock and the time that it takes to kill the runs.
constexpr Duration kLeaseExpiryMargin = std::chrono::milliseconds(80);
/// Interval of listings while foreign runs are stopped; they take about as long
/// to end.
constexpr Duration kSyncListingInterval = std::chrono::milliseconds(20);
/// How long listings stay short after one that was not answered.
constexpr Duration kShortListingPeriod = std::chrono::seconds(1);
/// Unaccepted connections in a row after which the upstream is gone; a single
/// one may be an accident of the network.
constexpr uint32_t kUnreachedListingsOfGoneUpstream = 2;

}  // namespace

void DirectSidecar::Impl::BeginSync(Instant now) {
  state_ = UpstreamState::kSyncing;
  listings_failing_since_.reset();
  unreached_listings_ = 0;
  next_listing_ = now;
  listings_.clear();
  NotifyAllEntries();
  SendListCommand(now, Duration(0));
}

void DirectSidecar::Impl::BeginLeaseExpiry(Instant now,
                                           std::string_view cause) {
  state_ = UpstreamState::kLeaseExpiring;
  effects_.push_back(
      LogLine("lease_left_to_lapse")
          .Add("cause", cause)
          .Add("runs", static_cast<int64_t>(run_table_.runs().size()))
          .Add("left_us", (lease_end_ - now).count()));
  NotifyAllEntries();
}

void DirectSidecar::Impl::RecordUpstreamClock(Instant now,
                                              UpstreamMillis clock) {
  if (clock > 0) {
    upstream_->clock = clock;
    upstream_->clock_read = now;
  }
}

UpstreamMillis DirectSidecar::Impl::ExtendLease(Instant now) {
  lease_end_ =
      std::max(lease_end_, now + settings_.times.lease + kLeaseExpiryMargin);
  const Duration until = (now - upstream_->clock_read) + settings_.times.lease;
  return upstream_->clock +
         std::chrono::duration_cast<std::chrono::milliseconds>(until).count();
}

void DirectSidecar::Impl::SendStartCommand(Instant now, ActiveRun& run) {
  ++run.start_sends;
  run.command_due = now + (run.start_sends < settings_.max_start_sends
                               ? settings_.start_resend_interval
                               : settings_.command_timeout);
  StartCommand command;
  command.header = NextHeader(upstream_->id);
  command.run = run.id;
  command.spec = run.spec;
  command.lease_until = ExtendLease(now);
  run.pending_command = command.header.number;
  pending_commands_.emplace(run.pending_command, run.id);
  effects_.push_back(std::move(command));
  if (listings_.empty()) {
    next_listing_ = now;
  }
}

void DirectSidecar::Impl::RetryStart(Instant now, ActiveRun& run) {
  effects_.push_back(LogLine("start_unanswered")
                         .Add("task", run.id.task)
                         .Add("sends", run.start_sends));
  if (run.start_sends < settings_.max_start_sends) {
    SendStartCommand(now, run);
  } else {
    // An upstream that has accepted a stop of the run refuses to start it.
    BeginStop(now, run);
  }
}

void DirectSidecar::Impl::BeginStop(Instant now, ActiveRun& run) {
  if (run.phase == RunPhase::kStopping) {
    return;
  }
  run.phase = RunPhase::kStopping;
  run.is_confirmed = false;
  SendStopCommand(now, run);
}

void DirectSidecar::Impl::RequireStop(Instant now, ActiveRun& run) {
  if (run.stop_required_since == Instant::max()) {
    effects_.push_back(LogLine("run_orphaned")
                           .Add("task", run.id.task)
                           .Add("entry", run.owner.name.value())
                           .Add("age_us", (now - run.start_sent_at).count()));
  }
  run.stop_required_since = std::min(run.stop_required_since, now);
  BeginStop(now, run);
}

void DirectSidecar::Impl::SendStopCommand(Instant now, ActiveRun& run) {
  StopCommand command;
  command.header = NextHeader(upstream_->id);
  command.run = run.id;
  run.pending_command = command.header.number;
  run.command_due = now + settings_.command_timeout;
  pending_commands_.emplace(run.pending_command, run.id);
  effects_.push_back(std::move(command));
}

void DirectSidecar::Impl::OnCommandResult(Instant now,
                                          uint64_t number,
                                          CommandResult result,
                                          UpstreamMillis clock) {
  const auto it = pending_commands_.find(number);
  if (it == pending_commands_.end()) {
    return;
  }
  const TaskRun id = it->second;
  pending_commands_.erase(it);
  RecordUpstreamClock(now, clock);
  ActiveRun* run = run_table_.FindRun(id);
  // Answers to earlier commands for the run count only when they prove that its
  // start was carried out.
  if (run == nullptr || (run->pending_command != number &&
                         (run->phase != RunPhase::kStarting ||
                          result != CommandResult::kAccepted))) {
    return;
  }
  run->pending_command = 0;
  if (result == CommandResult::kOtherIncarnation) {
    effects_.push_back(LogLine("upstream_replaced"));
    DropAllRuns(now, KindOfLoss(), "replaced");
    BeginSync(now);
    return;
  }
  if (run->phase == RunPhase::kStopping) {
    if (result == CommandResult::kAccepted) {
      run->is_confirmed = true;
      run->confirmed_at = now;
      run->command_due = now + settings_.times.stop_confirm_timeout;
      SendListCommand(now, Duration(0));
    } else {
      run->command_due = now + settings_.retry_delay;
    }
    return;
  }
  OnStartAnswered(now, *run, result);
}

void DirectSidecar::Impl::OnStartAnswered(Instant now,
                                          ActiveRun& run,
                                          CommandResult result) {
  if (result == CommandResult::kUnknown) {
    RetryStart(now, run);
    return;
  }
  run.spec.clear();
  if (result == CommandResult::kAccepted) {
    run.phase = RunPhase::kRunning;
    run.seen_running = true;
    run.is_confirmed = true;
    run.confirmed_at = now;
    return;
  }
  effects_.push_back(LogLine("start_refused")
                         .Add("task", run.id.task)
                         .Add("answer", ToString(result)));
  if (run.start_sends > 1) {
    // An earlier command may have started the run, which may even have ended.
    // Listings after a confirmed stop tell.
    BeginStop(now, run);
    return;
  }
  EndRun(now, run.id, EndKind::kNotStarted);
  if (result == CommandResult::kNotReached && run_table_.runs().empty() &&
      state_ == UpstreamState::kReady) {
    // Closed until a listing is answered: other tasks would not start either.
    BeginSync(now);
  }
}

void DirectSidecar::Impl::SendListCommand(Instant now, Duration wait) {
  const bool syncing = state_ == UpstreamState::kSyncing;
  const bool renews =
      state_ == UpstreamState::kReady && !run_table_.runs().empty();
  ListCommand command;
  command.header = NextHeader(upstream_->id);
  command.acknowledged_end = upstream_->last_listed_end;
  command.wait = syncing ? Duration(0) : wait;
  command.lease_until = renews ? ExtendLease(now) : 0;
  const bool long_wait = command.wait > Duration(0);
  const Duration margin = now < short_listings_until_
                              ? settings_.short_listing_timeout_margin
                              : settings_.listing_timeout_margin;
  listings_[command.header.number] = {now, now + command.wait + margin,
                                      command.header.fencing_token, long_wait};
  effects_.emplace_back(std::move(command));
}

void DirectSidecar::Impl::ListIfDue(Instant now) {
  const bool listing_pending = std::ranges::any_of(
      listings_ | std::views::values, [this](const OpenListing& listing) {
        return listing.long_wait || state_ == UpstreamState::kSyncing;
      });
  if (NeedsListings() && !listing_pending && now >= next_listing_) {
    SendListCommand(now, now < short_listings_until_
                             ? settings_.short_listing_wait
                             : settings_.listing_wait);
  }
}

void DirectSidecar::Impl::OnListing(Instant now,
                                    uint64_t number,
                                    const Listing& listing,
                                    UpstreamMillis clock) {
  if (Candidate* candidate = FindCandidate(number)) {
    OnIdentityChecked(now, *candidate, listing, clock);
    return;
  }
  const auto it = listings_.find(number);
  if (it == listings_.end()) {
    return;
  }
  const Instant requested_at = it->second.sent_at;
  listings_.erase(it);
  listings_failing_since_.reset();
  unreached_listings_ = 0;
  crash_noticed_ = false;
  if (!CheckStartTime(now, listing, clock)) {
    return;
  }
  CheckDeparture(requested_at);
  RecordUpstreamClock(now, clock);
  for (const ListedEnd& end : listing.ended) {
    upstream_->last_listed_end =
        std::max(upstream_->last_listed_end, end.number);
    if (const ActiveRun* run = run_table_.FindRun(end.run)) {
      EndRun(now, run->id, end.kind);
    }
  }
  std::set<TaskRun> listed_runs;
  bool has_foreign_runs = false;
  for (const ListedRun& listed : listing.running) {
    listed_runs.insert(listed.run);
    if (run_table_.FindRun(listed.run) != nullptr) {
      HandleListedRun(now, listed);
    } else {
      has_foreign_runs = true;
      StopForeignRun(now, listed.run);
    }
  }
  // A run whose end did not fit into the listing is not lost.
  if (listing.ended.size() < settings_.max_listed_ends) {
    EndUnlistedRuns(now, requested_at, listed_runs);
  }
  if (state_ == UpstreamState::kSyncing) {
    next_listing_ = now + kSyncListingInterval;
    if (!has_foreign_runs) {
      state_ = UpstreamState::kReady;
      if (std::exchange(lease_unknown_, false)) {
        // From now on the upstream rejects late commands for an earlier
        // incarnation, because it has seen a higher token.
        lease_end_ = std::max(lease_end_,
                              now + settings_.max_lease + kLeaseExpiryMargin);
      }
      ReportLostRuns(now);
      effects_.push_back(
          LogLine("upstream_open").Add("upstream", upstream_->id));
      NotifyAllEntries();
    }
  } else {
    next_listing_ = now;
  }
}

void DirectSidecar::Impl::StopForeignRun(Instant now, const TaskRun& run) {
  // An unknown run was left by an earlier incarnation of this sidecar, or it
  // has just ended and the listing is older than its end. The former is
  // possible only while syncing.
  if (state_ != UpstreamState::kSyncing) {
    return;
  }
  effects_.push_back(LogLine("foreign_run_stopped").Add("task", run.task));
  StopCommand command;
  command.header = NextHeader(upstream_->id);
  command.run = run;
  effects_.push_back(std::move(command));
  next_listing_ = now + kSyncListingInterval;
}

void DirectSidecar::Impl::HandleListedRun(Instant now,
                                          const ListedRun& listed) {
  ActiveRun& run = *run_table_.FindRun(listed.run);
  run.seen_running = true;
  if (run.phase == RunPhase::kStarting) {
    run.phase = RunPhase::kRunning;
    run.is_confirmed = true;
    // The listing answers the start command as well.
    run.pending_command = 0;
    run.spec.clear();
    // A held listing shows the state at the time of its answer. A listing that
    // was requested after this one, but produced before it, may not show this
    // run yet. Should it arrive later, it must not count as proof of the end.
    run.confirmed_at = now;
  }
  CheckProgress(now, run, listed.percent);
}

void DirectSidecar::Impl::CheckProgress(Instant now,
                                        ActiveRun& run,
                                        int64_t percent) {
  if (percent != run.percent) {
    run.percent = percent;
    run.progressed_at = now;
    return;
  }
  // Progress is reported in percent, so a slow task may show none for a while.
  // `step_time` allows three times the average time per percent so far.
  const Duration min_timeout(
      static_cast<int64_t>(static_cast<double>(run.estimate.count()) *
                           settings_.hang_timeout_fraction));
  const Duration step_time =
      percent > 0 ? (run.progressed_at - run.start_sent_at) / percent * 3
                  : Duration(0);
  if (run.phase == RunPhase::kRunning &&
      now - run.progressed_at >
          std::max({settings_.hang_timeout, min_timeout, step_time})) {
    effects_.push_back(LogLine("task_stands_still")
                           .Add("task", run.id.task)
                           .Add("percent", percent)
                           .Add("for_us", (now - run.progressed_at).count()));
    BeginStop(now, run);
  }
}

void DirectSidecar::Impl::EndUnlistedRuns(
    Instant now,
    Instant requested_at,
    const std::set<TaskRun>& listed_runs) {
  std::vector<std::pair<TaskRun, EndKind>> ended_runs;
  for (const ActiveRun& run : run_table_.runs() | std::views::values) {
    if (!run.is_confirmed || requested_at <= run.confirmed_at ||
        listed_runs.contains(run.id)) {
      continue;
    }
    const bool stopped = run.phase == RunPhase::kStopping;
    ended_runs.emplace_back(run.id, !stopped           ? EndKind::kLost
                                    : run.seen_running ? EndKind::kStopped
                                                       : EndKind::kNotStarted);
  }
  for (const auto& [id, kind] : ended_runs) {
    EndRun(now, id, kind);
  }
}

void DirectSidecar::Impl::EndRun(Instant now,
                                 const TaskRun& run,
                                 EndKind kind) {
  const ActiveRun* active = run_table_.FindRun(run);
  RunEnd end;
  end.run = active->id;
  end.kind = kind;
  end.duration_micros = (now - active->start_sent_at).count();
  const Peer owner = active->owner;
  run_table_.Release(end.run);
  if (Session* session = sessions_.Find(owner)) {
    SessionTable::AddEnd(*session, std::move(end));
  }
  for (Session& session : sessions_.all() | std::views::values) {
    session.send_due |= session.claims_everything;
  }
}

void DirectSidecar::Impl::OnListingFailed(Instant now,
                                          uint64_t number,
                                          CommandResult result) {
  if (Candidate* candidate = FindCandidate(number)) {
    OnIdentityCheckFailed(now, *candidate, result);
    return;
  }
  const auto it = listings_.find(number);
  if (it == listings_.end()) {
    return;
  }
  const Instant requested_at = it->second.sent_at;
  const bool is_outdated = it->second.fencing_token < fencing_token_;
  listings_.erase(it);
  if (result == CommandResult::kFenced && is_outdated) {
    // An identity check with a higher token has overtaken it.
    next_listing_ = now;
    return;
  }
  if (result == CommandResult::kFenced) {
    RaiseFencingToken();
    BeginSync(now);
    return;
  }
  if (result == CommandResult::kOtherIncarnation) {
    DropAllRuns(now, KindOfLoss(), "replaced");
  }
  if (!listings_failing_since_) {
    listings_failing_since_ = requested_at;
    listings_broken_at_ = now;
  }
  if (result == CommandResult::kUnknown) {
    short_listings_until_ = now + kShortListingPeriod;
  }
  next_listing_ = now + settings_.retry_delay;
  if (result == CommandResult::kNotReached) {
    ++unreached_listings_;
  } else if (!IsUpstreamGone()) {
    unreached_listings_ = 0;
  }
  const bool is_replaced = result == CommandResult::kOtherIncarnation;
  if (upstream_->departure_announced_at && run_table_.runs().empty() &&
      (is_replaced || IsUpstreamGone())) {
    CompleteDeparture();
  } else if (IsUpstreamGone()) {
    CheckLease(now);
  }
}

void DirectSidecar::Impl::RaiseFencingToken() {
  fencing_token_ += kFencingTokenRaise;
  effects_.push_back(LogLine("fencing_token_raised")
                         .Add("token", static_cast<int64_t>(fencing_token_)));
}

bool DirectSidecar::Impl::IsUpstreamGone() const {
  return unreached_listings_ >= kUnreachedListingsOfGoneUpstream;
}

void DirectSidecar::Impl::CheckCommandTimeouts(Instant now) {
  std::vector<TaskRun> overdue;
  for (const ActiveRun& run : run_table_.runs() | std::views::values) {
    const bool awaits_answer =
        run.phase == RunPhase::kStopping ||
        (run.phase == RunPhase::kStarting && run.pending_command != 0);
    if (awaits_answer && now >= run.command_due) {
      overdue.push_back(run.id);
    }
  }
  for (const TaskRun& id : overdue) {
    ActiveRun& run = *run_table_.FindRun(id);
    if (run.phase == RunPhase::kStarting) {
      RetryStart(now, run);
    } else {
      run.is_confirmed = false;
      SendStopCommand(now, run);
    }
  }
}

void DirectSidecar::Impl::CheckListingTimeouts(Instant now) {
  std::vector<uint64_t> overdue;
  for (const auto& [number, listing] : listings_) {
    if (now >= listing.deadline) {
      overdue.push_back(number);
    }
  }
  for (const uint64_t number : overdue) {
    OnListingFailed(now, number, CommandResult::kUnknown);
    // The timeout was pause enough.
    next_listing_ = now;
  }
}

bool DirectSidecar::Impl::HasOverdueStop(Instant now) const {
  return std::ranges::any_of(
      run_table_.runs() | std::views::values, [&](const ActiveRun& run) {
        return run.stop_required_since <
               now - settings_.times.stop_confirm_timeout;
      });
}

void DirectSidecar::Impl::CheckLease(Instant now) {
  const bool overdue_stop = HasOverdueStop(now);
  const bool listings_failing =
      IsUpstreamGone() ||
      (listings_failing_since_ &&
       now - *listings_failing_since_ > settings_.times.lease * 3 / 4);
  if (state_ == UpstreamState::kReady && !run_table_.runs().empty() &&
      (overdue_stop || listings_failing)) {
    BeginLeaseExpiry(now, overdue_stop       ? "stop_unconfirmed"
                          : IsUpstreamGone() ? "upstream_gone"
                                             : "upstream_silent");
    if (IsUpstreamGone() && KindOfLoss() == EndKind::kCrashed) {
      NoticeCrash(now);
    }
  }
  if (state_ != UpstreamState::kLeaseExpiring) {
    return;
  }
  if (!overdue_stop && !listings_failing) {
    state_ = UpstreamState::kReady;
    NotifyAllEntries();
  } else if (now >= lease_end_) {
    // No run is left; with a higher token the upstream rejects delayed
    // commands.
    ++fencing_token_;
    DropAllRuns(now, IsUpstreamGone() ? KindOfLoss() : EndKind::kLost,
                "lease_expired");
    BeginSync(now);
  }
}

}  // namespace filbertwick::core::direct

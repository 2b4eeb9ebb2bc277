#include "filbertwick/core/direct/direct_sidecar_impl.h"
#include "filbertwick/core/direct/names.h"

namespace filbertwick::core::direct {
namespace {

/// Raise of a fencing token found too low: a quarter of an hour, as tokens
/// begin as wall-clock milliseconds and clocks jump by less.
constexpr uint64_t kTokenRaise = 15ULL * 60 * 1000;
/// Added to a lapsed lease before its runs count as gone: covers an upstream
/// whose clock is slow and the kill itself.
constexpr Duration kLapseSlack = std::chrono::milliseconds(80);
/// Pause between listings while foreign runs are stopped; they need about as
/// long to end.
constexpr Duration kSyncPause = std::chrono::milliseconds(20);

}  // namespace

void DirectSidecar::Impl::OnUpstreamAnnounced(
    Instant now,
    const UpstreamAnnouncement& announcement) {
  if (upstream_ &&
      (announcement.started_unix_millis < upstream_->started_unix_millis ||
       (announcement.id == upstream_->id &&
        announcement.started_unix_millis == upstream_->started_unix_millis &&
        announcement.sequence <= upstream_->sequence))) {
    return;
  }
  if (!upstream_ || announcement.id != upstream_->id ||
      announcement.started_unix_millis != upstream_->started_unix_millis) {
    BeginLife(now, announcement);
    return;
  }
  upstream_->sequence = announcement.sequence;
  ReadClock(now, announcement.clock);
  if (announcement.draining && !upstream_->draining) {
    upstream_->draining = true;
    effects_.push_back(
        LogLine("upstream_draining").Add("upstream", upstream_->id));
    TellAll();
  }
}

void DirectSidecar::Impl::BeginLife(Instant now,
                                    const UpstreamAnnouncement& announcement) {
  std::ranges::move(ledger_.Clear(), std::back_inserter(unsettled_));
  // Under the same id, orders to the earlier life are taken by this one: until
  // a higher token is seen there, what they start may be any of the lost runs.
  if (!upstream_ || upstream_->id != announcement.id) {
    TellLost(now);
  }
  ++token_;
  upstream_.emplace();
  upstream_->id = announcement.id;
  upstream_->started_unix_millis = announcement.started_unix_millis;
  upstream_->sequence = announcement.sequence;
  upstream_->draining = announcement.draining;
  upstream_->profile = announcement.profile;
  ledger_.SetCapacity(announcement.profile.capacity);
  orders_.clear();
  ReadClock(now, announcement.clock);
  effects_.push_back(
      LogLine("upstream_found")
          .Add("upstream", announcement.id)
          .Add("service", announcement.profile.service)
          .Add("born", announcement.started_unix_millis)
          .Add("cpu_millis", announcement.profile.capacity.cpu_millis));
  EnterSync(now);
}

void DirectSidecar::Impl::OnUpstreamLeft(Instant now, std::string_view id) {
  if (!upstream_ || upstream_->id != id) {
    return;
  }
  effects_.push_back(LogLine("upstream_left").Add("upstream", id));
  LoseAll(now);
  mode_ = Mode::kAbsent;
  upstream_->draining = true;
  listings_.clear();
  orders_.clear();
  TellAll();
}

void DirectSidecar::Impl::LoseAll(Instant now) {
  std::ranges::move(ledger_.Clear(), std::back_inserter(unsettled_));
  TellLost(now);
}

void DirectSidecar::Impl::TellLost(Instant now) {
  for (const ActiveRun& run : std::exchange(unsettled_, {})) {
    if (Session* session = sessions_.Find(run.owner)) {
      SessionTable::AddEnd(
          *session, {0, run.id, EndKind::kLost, (now - run.ordered).count()});
    }
  }
}

void DirectSidecar::Impl::EnterSync(Instant now) {
  mode_ = Mode::kSyncing;
  silent_since_.reset();
  listing_due_ = now;
  listings_.clear();
  TellAll();
  List(now, Duration(0));
}

void DirectSidecar::Impl::EnterLapse(Instant now, std::string_view cause) {
  mode_ = Mode::kLapsing;
  effects_.push_back(
      LogLine("lease_left_to_lapse")
          .Add("cause", cause)
          .Add("runs", static_cast<int64_t>(ledger_.runs().size()))
          .Add("left_us", (lease_end_ - now).count()));
  TellAll();
}

void DirectSidecar::Impl::ReadClock(Instant now, UpstreamMillis clock) {
  if (clock > 0) {
    upstream_->clock = clock;
    upstream_->clock_read = now;
  }
}

UpstreamMillis DirectSidecar::Impl::LeaseUntil(Instant now) {
  lease_end_ = std::max(lease_end_, now + settings_.times.lease + kLapseSlack);
  const Duration until = (now - upstream_->clock_read) + settings_.times.lease;
  return upstream_->clock +
         std::chrono::duration_cast<std::chrono::milliseconds>(until).count();
}

void DirectSidecar::Impl::StartTask(Instant now,
                                    ActiveRun& run,
                                    const std::string& spec) {
  run.ordered = now;
  run.moved = now;
  run.order_due = now + settings_.order_timeout;
  StartCommand command;
  command.header = NextStamp();
  command.run = run.id;
  command.spec = spec;
  command.lease_until = LeaseUntil(now);
  run.open_order = command.header.number;
  orders_.emplace(run.open_order, run.id);
  effects_.push_back(std::move(command));
  if (listings_.empty()) {
    listing_due_ = now;
  }
}

void DirectSidecar::Impl::DecideStop(Instant now, ActiveRun& run) {
  if (run.phase == RunPhase::kStopping) {
    return;
  }
  run.phase = RunPhase::kStopping;
  run.is_confirmed = false;
  SendStop(now, run);
}

void DirectSidecar::Impl::OweStop(Instant now, ActiveRun& run) {
  if (run.stop_owed == Instant::max()) {
    effects_.push_back(LogLine("run_orphaned")
                           .Add("task", run.id.task)
                           .Add("entry", run.owner.name.value())
                           .Add("age_us", (now - run.ordered).count()));
  }
  run.stop_owed = std::min(run.stop_owed, now);
  DecideStop(now, run);
}

void DirectSidecar::Impl::SendStop(Instant now, ActiveRun& run) {
  StopCommand command;
  command.header = NextStamp();
  command.run = run.id;
  run.open_order = command.header.number;
  run.order_due = now + settings_.order_timeout;
  orders_.emplace(run.open_order, run.id);
  effects_.push_back(std::move(command));
}

void DirectSidecar::Impl::OnCommandResult(Instant now,
                                          uint64_t number,
                                          CommandResult answer,
                                          UpstreamMillis clock) {
  const auto it = orders_.find(number);
  if (it == orders_.end()) {
    return;
  }
  const TaskRun id = it->second;
  orders_.erase(it);
  ReadClock(now, clock);
  ActiveRun* run = ledger_.FindRun(id);
  if (run == nullptr || run->open_order != number) {
    return;
  }
  run->open_order = 0;
  if (answer == CommandResult::kOtherIncarnation) {
    effects_.push_back(LogLine("upstream_replaced"));
    LoseAll(now);
    EnterSync(now);
    return;
  }
  if (run->phase == RunPhase::kStopping) {
    if (answer == CommandResult::kAccepted) {
      run->is_confirmed = true;
      run->confirmed = now;
      run->order_due = now + settings_.times.stop_patience;
      List(now, Duration(0));
    } else {
      run->order_due = now + settings_.retry_pause;
    }
    return;
  }
  switch (answer) {
    case CommandResult::kAccepted:
      run->phase = RunPhase::kRunning;
      run->seen_running = true;
      run->is_confirmed = true;
      run->confirmed = now;
      break;
    case CommandResult::kUnknown:
      // It may still be carried out: the stop fences it.
      effects_.push_back(LogLine("start_unanswered").Add("task", id.task));
      DecideStop(now, *run);
      break;
    default:
      effects_.push_back(LogLine("start_refused")
                             .Add("task", id.task)
                             .Add("answer", ToString(answer)));
      EndRun(now, id, EndKind::kNotStarted);
  }
}

void DirectSidecar::Impl::List(Instant now, Duration wait) {
  const bool syncing = mode_ == Mode::kSyncing;
  const bool renews = mode_ == Mode::kOpen && !ledger_.runs().empty();
  ListCommand command;
  command.header = NextStamp();
  command.acknowledged_end = upstream_->ends_seen;
  command.wait = syncing ? Duration(0) : wait;
  command.lease_until = renews ? LeaseUntil(now) : 0;
  const bool long_wait = command.wait > Duration(0);
  listings_[command.header.number] = {
      now, now + command.wait + settings_.listing_slack, long_wait};
  effects_.emplace_back(std::move(command));
}

void DirectSidecar::Impl::KeepListing(Instant now) {
  const bool wanted = mode_ == Mode::kSyncing ||
                      ((mode_ == Mode::kOpen || mode_ == Mode::kLapsing) &&
                       !ledger_.runs().empty());
  const bool open = std::ranges::any_of(
      listings_ | std::views::values, [this](const OpenListing& listing) {
        return listing.long_wait || mode_ == Mode::kSyncing;
      });
  if (wanted && !open && now >= listing_due_) {
    List(now, settings_.listing_wait);
  }
}

void DirectSidecar::Impl::OnListing(Instant now,
                                    uint64_t number,
                                    const Listing& listing,
                                    UpstreamMillis clock) {
  const auto it = listings_.find(number);
  if (it == listings_.end()) {
    return;
  }
  const Instant asked = it->second.sent;
  listings_.erase(it);
  silent_since_.reset();
  if (listing.started_unix_millis != 0 &&
      listing.started_unix_millis != upstream_->started_unix_millis) {
    // The same id in a new life: it holds and knows nothing of before.
    if (listing.started_unix_millis > upstream_->started_unix_millis) {
      effects_.push_back(LogLine("upstream_reborn")
                             .Add("upstream", upstream_->id)
                             .Add("born", listing.started_unix_millis));
      UpstreamAnnouncement reborn;
      reborn.id = upstream_->id;
      reborn.started_unix_millis = listing.started_unix_millis;
      reborn.profile = upstream_->profile;
      reborn.clock = clock;
      BeginLife(now, reborn);
    }
    return;
  }
  ReadClock(now, clock);
  for (const ListedEnd& end : listing.ended) {
    upstream_->ends_seen = std::max(upstream_->ends_seen, end.number);
    if (const ActiveRun* run = ledger_.FindRun(end.run)) {
      EndRun(now, run->id, end.kind);
    }
  }
  std::set<TaskRun> shown;
  bool foreign = false;
  for (const ListedRun& listed : listing.running) {
    shown.insert(listed.run);
    if (ledger_.FindRun(listed.run) != nullptr) {
      TakeListedRun(now, listed);
    } else {
      foreign = true;
      StopForeign(now, listed.run);
    }
  }
  DropVanished(now, asked, shown);
  if (mode_ == Mode::kSyncing) {
    listing_due_ = now + kSyncPause;
    if (!foreign) {
      mode_ = Mode::kOpen;
      TellLost(now);
      effects_.push_back(
          LogLine("upstream_open").Add("upstream", upstream_->id));
      TellAll();
    }
  } else {
    listing_due_ = now;
  }
}

void DirectSidecar::Impl::StopForeign(Instant now, const TaskRun& run) {
  // Left from an earlier life of this process, or just ended: only while
  // syncing can it be more than an overtaken listing.
  if (mode_ != Mode::kSyncing) {
    return;
  }
  effects_.push_back(LogLine("foreign_run_stopped").Add("task", run.task));
  StopCommand command;
  command.header = NextStamp();
  command.run = run;
  effects_.push_back(std::move(command));
  listing_due_ = now + kSyncPause;
}

void DirectSidecar::Impl::TakeListedRun(Instant now, const ListedRun& listed) {
  ActiveRun& run = *ledger_.FindRun(listed.run);
  run.seen_running = true;
  if (run.phase == RunPhase::kStarting) {
    run.phase = RunPhase::kRunning;
    run.is_confirmed = true;
    // A listing that waited shows what is there when it is answered: one asked
    // for after this one may show less.
    run.confirmed = now;
  }
  WatchProgress(now, run, listed.percent);
}

void DirectSidecar::Impl::WatchProgress(Instant now,
                                        ActiveRun& run,
                                        int64_t percent) {
  if (percent != run.percent) {
    run.percent = percent;
    run.moved = now;
    return;
  }
  // Slow tasks move by a hundredth of their length at a time.
  const Duration least(static_cast<int64_t>(
      static_cast<double>(run.estimate.count()) * settings_.hang_share));
  const Duration step =
      percent > 0 ? (run.moved - run.ordered) / percent * 3 : Duration(0);
  if (run.phase == RunPhase::kRunning &&
      now - run.moved > std::max({settings_.hang_after, least, step})) {
    effects_.push_back(LogLine("task_stands_still")
                           .Add("task", run.id.task)
                           .Add("percent", percent)
                           .Add("for_us", (now - run.moved).count()));
    DecideStop(now, run);
  }
}

void DirectSidecar::Impl::DropVanished(Instant now,
                                       Instant asked,
                                       const std::set<TaskRun>& shown) {
  std::vector<std::pair<TaskRun, EndKind>> gone;
  for (const ActiveRun& run : ledger_.runs() | std::views::values) {
    if (!run.is_confirmed || asked <= run.confirmed || shown.contains(run.id)) {
      continue;
    }
    const bool stopped = run.phase == RunPhase::kStopping;
    gone.emplace_back(run.id, !stopped           ? EndKind::kLost
                              : run.seen_running ? EndKind::kStopped
                                                 : EndKind::kNotStarted);
  }
  for (const auto& [id, kind] : gone) {
    EndRun(now, id, kind);
  }
}

void DirectSidecar::Impl::EndRun(Instant now,
                                 const TaskRun& run,
                                 EndKind kind) {
  const ActiveRun* held = ledger_.FindRun(run);
  RunEnd end;
  end.run = held->id;
  end.kind = kind;
  end.took_micros = (now - held->ordered).count();
  const Peer owner = held->owner;
  ledger_.Release(end.run);
  if (Session* session = sessions_.Find(owner)) {
    SessionTable::AddEnd(*session, std::move(end));
  }
  for (Session& session : sessions_.all() | std::views::values) {
    session.due |= session.waiting;
  }
}

void DirectSidecar::Impl::OnListingFailed(Instant now,
                                          uint64_t number,
                                          CommandResult answer) {
  const auto it = listings_.find(number);
  if (it == listings_.end()) {
    return;
  }
  const Instant asked = it->second.sent;
  listings_.erase(it);
  if (answer == CommandResult::kFenced) {
    token_ += kTokenRaise;
    effects_.push_back(LogLine("fencing_token_raised")
                           .Add("token", static_cast<int64_t>(token_)));
    EnterSync(now);
    return;
  }
  if (answer == CommandResult::kOtherIncarnation) {
    LoseAll(now);
  }
  if (!silent_since_) {
    silent_since_ = asked;
  }
  listing_due_ = now + settings_.retry_pause;
}

void DirectSidecar::Impl::WatchOrders(Instant now) {
  std::vector<TaskRun> overdue;
  for (const ActiveRun& run : ledger_.runs() | std::views::values) {
    const bool waits =
        run.phase == RunPhase::kStopping ||
        (run.phase == RunPhase::kStarting && run.open_order != 0);
    if (waits && now >= run.order_due) {
      overdue.push_back(run.id);
    }
  }
  for (const TaskRun& id : overdue) {
    ActiveRun& run = *ledger_.FindRun(id);
    if (run.phase == RunPhase::kStarting) {
      effects_.push_back(LogLine("start_unanswered").Add("task", id.task));
      DecideStop(now, run);
    } else {
      run.is_confirmed = false;
      SendStop(now, run);
    }
  }
}

void DirectSidecar::Impl::WatchListings(Instant now) {
  std::vector<uint64_t> overdue;
  for (const auto& [number, listing] : listings_) {
    if (now >= listing.due) {
      overdue.push_back(number);
    }
  }
  for (const uint64_t number : overdue) {
    OnListingFailed(now, number, CommandResult::kUnknown);
  }
}

bool DirectSidecar::Impl::HasOverdueStop(Instant now) const {
  return std::ranges::any_of(
      ledger_.runs() | std::views::values, [&](const ActiveRun& run) {
        return run.stop_owed < now - settings_.times.stop_patience;
      });
}

void DirectSidecar::Impl::WatchLapse(Instant now) {
  const bool overdue_stop = HasOverdueStop(now);
  const bool silent =
      silent_since_ && now - *silent_since_ > settings_.times.lease * 3 / 4;
  if (mode_ == Mode::kOpen && !ledger_.runs().empty() &&
      (overdue_stop || silent)) {
    EnterLapse(now, overdue_stop ? "stop_unconfirmed" : "upstream_silent");
  }
  if (mode_ != Mode::kLapsing) {
    return;
  }
  if (!overdue_stop && !silent) {
    mode_ = Mode::kOpen;
    TellAll();
  } else if (now >= lease_end_) {
    // Nothing runs any more; a higher token rejects what may still arrive.
    ++token_;
    LoseAll(now);
    EnterSync(now);
  }
}

}  // namespace filbertwick::core::direct

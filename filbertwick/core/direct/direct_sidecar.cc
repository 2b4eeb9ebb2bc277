#include "filbertwick/core/direct/direct_sidecar_impl.h"

namespace filbertwick::core::direct {
namespace {

/// How long a crash is sent with every message; entries that restart learn of
/// it as well.
constexpr Duration kCrashMemory = std::chrono::seconds(10);
/// Pause before what the socket has not taken is sent again.
constexpr Duration kSocketRetryDelay = std::chrono::milliseconds(20);

}  // namespace

void DirectSidecar::Impl::OnMessage(Instant now, const EntryMessage& message) {
  ExpireGrants(now);
  bool replaced = false;
  Session* session = sessions_.Open(message.from, replaced);
  if (session == nullptr) {
    return;
  }
  if (replaced) {
    effects_.push_back(
        LogLine("entry_restarted").Add("entry", message.from.name.value()));
    StopRunsOfOtherIncarnations(now, message.from);
    grants_.Remove(message.from.name);
  }
  const bool is_newest = message.sent_at >= session->echoed_sent_at;
  session->echoed_sent_at = std::max(session->echoed_sent_at, message.sent_at);
  if (message.to_incarnation != self_.incarnation) {
    // The message is meant for another incarnation of this sidecar, or the
    // entry does not know any yet. The reply tells it the present one.
    session->send_due = true;
    return;
  }
  const Instant echoed_at = FromMicros(message.echoed_clock);
  session->last_alive = std::max(session->last_alive, echoed_at);
  if (session->timed_out &&
      now - session->last_alive <= settings_.times.session_timeout) {
    session->timed_out = false;
  }
  session->claims_everything =
      std::ranges::any_of(message.claims, &Claim::MatchesEverything);
  session->send_due |= message.wants_reply;
  SessionTable::AcknowledgeEnds(*session, message.acknowledged_end);
  session->send_due |=
      session->ends_resend.Answered(now, session->last_alive) &&
      !session->ends.empty();
  for (const TaskRun& run : message.stops) {
    HandleStop(now, *session, run);
  }
  for (const Offer& offer : message.offers) {
    HandleOffer(now, *session, message.echoed_clock, offer);
  }
  grants_.OnAnswered(message.from.name, echoed_at);
  if (is_newest &&
      now - session->last_alive <= settings_.times.session_timeout) {
    grants_.SetClaims(now, message.from.name, message.claims, echoed_at);
  }
}

void DirectSidecar::Impl::HandleOffer(Instant now,
                                      Session& session,
                                      ClockReading echoed_clock,
                                      const Offer& offer) {
  if (const OfferReply* earlier_reply =
          SessionTable::FindReply(session, offer.id)) {
    SessionTable::AddPendingReply(session, *earlier_reply);
    return;
  }
  const bool is_fresh =
      now - FromMicros(echoed_clock) <= settings_.times.max_offer_age &&
      now - session.last_alive <= settings_.times.session_timeout;
  OfferReply reply;
  reply.id = offer.id;
  for (const OfferedTask& task : offer.tasks) {
    const Refusal refusal = DecideRefusal(session, offer, task, is_fresh);
    reply.refusals.push_back(refusal);
    if (refusal == Refusal::kNone &&
        run_table_.Find(task.run.task) == nullptr) {
      ActiveRun run;
      run.id = task.run;
      run.needs = task.needs;
      run.estimate = Duration(task.estimate_micros);
      run.queue = offer.queue;
      run.owner = session.entry;
      run.spec = offer.spec;
      run.start_sent_at = now;
      run.progressed_at = now;
      grants_.OnUsed(session.entry.name, run.needs);
      SendStartCommand(now, run_table_.Insert(std::move(run)));
    }
  }
  SessionTable::AddReply(session, std::move(reply));
}

Refusal DirectSidecar::Impl::DecideRefusal(const Session& session,
                                           const Offer& offer,
                                           const OfferedTask& task,
                                           bool is_fresh) {
  if (const ActiveRun* active = run_table_.Find(task.run.task)) {
    return active->id == task.run && active->owner == session.entry
               ? Refusal::kNone
               : Refusal::kOtherRun;
  }
  if (!is_fresh) {
    return Refusal::kStale;
  }
  if (session.stopped_before_offer.contains(task.run)) {
    return Refusal::kStopped;
  }
  if (!AcceptsTasks() || offer.service != upstream_->profile.service) {
    return Refusal::kNotAccepting;
  }
  return grants_.MayUse(session.entry.name, run_table_.Free(), task.needs)
             ? Refusal::kNone
             : Refusal::kNoCapacity;
}

void DirectSidecar::Impl::ExpireGrants(Instant now) {
  const auto lapses = grants_.TakeLapsed(now);
  if (lapses.empty()) {
    return;
  }
  for (const auto& lapse : lapses) {
    effects_.push_back(LogLine("grant_lapsed")
                           .Add("entry", lapse.entry.value())
                           .Add("cpu_millis", lapse.unused.cpu_millis));
  }
  for (const InstanceName& entry : grants_.Claimants()) {
    sessions_.all().at(entry).send_due = true;
  }
  for (Session& session : sessions_.all() | std::views::values) {
    session.send_due |= session.claims_everything;
  }
}

void DirectSidecar::Impl::GrantFreeCapacity(Instant now) {
  const Resources free = AcceptsTasks() ? run_table_.Free() : Resources();
  const bool has_more = !granted_from_.Covers(free);
  granted_from_ = free;
  if (has_more) {
    grants_.OnFreed();
  }
  const auto notify = [this](const InstanceName& entry) {
    sessions_.all().at(entry).send_due = true;
  };
  std::ranges::for_each(grants_.Grant(now, free), notify);
  if (has_more) {
    std::ranges::for_each(grants_.PausedClaimants(now, free), notify);
  }
}

void DirectSidecar::Impl::HandleStop(Instant now,
                                     Session& session,
                                     const TaskRun& run) {
  if (ActiveRun* active = run_table_.FindRun(run)) {
    if (active->owner == session.entry) {
      RequireStop(now, *active);
    }
    return;
  }
  const bool reported = std::ranges::any_of(
      session.ends, [&](const RunEnd& end) { return end.run == run; });
  session.send_due = true;
  if (reported) {
    return;
  }
  // The run is not in the run table. Should its offer still arrive, it is
  // refused until the offer would be stale in any case.
  session.stopped_before_offer[run] = now + settings_.times.max_offer_age * 2;
  RunEnd end;
  end.run = run;
  end.kind = EndKind::kNotStarted;
  SessionTable::AddEnd(session, std::move(end));
}

void DirectSidecar::Impl::StopRunsOf(Instant now, const Peer& owner) {
  for (ActiveRun& run : run_table_.runs() | std::views::values) {
    if (run.owner == owner) {
      RequireStop(now, run);
    }
  }
}

void DirectSidecar::Impl::StopRunsOfOtherIncarnations(Instant now,
                                                      const Peer& current) {
  for (ActiveRun& run : run_table_.runs() | std::views::values) {
    if (run.owner.name == current.name && run.owner != current) {
      RequireStop(now, run);
    }
  }
}

void DirectSidecar::Impl::ExpireSilentSessions(Instant now) {
  for (Session& session : sessions_.all() | std::views::values) {
    std::erase_if(session.stopped_before_offer,
                  [now](const auto& item) { return item.second <= now; });
    if (session.timed_out ||
        now - session.last_alive <= settings_.times.session_timeout) {
      continue;
    }
    session.timed_out = true;
    session.claims_everything = false;
    grants_.Remove(session.entry.name);
    const bool has_runs = std::ranges::any_of(
        run_table_.runs() | std::views::values,
        [&](const ActiveRun& run) { return run.owner == session.entry; });
    if (has_runs) {
      effects_.push_back(
          LogLine("entry_silent")
              .Add("entry", session.entry.name.value())
              .Add("age_us", (now - session.last_alive).count()));
      StopRunsOf(now, session.entry);
    }
  }
}

void DirectSidecar::Impl::OnWakeup(Instant now) {
  ExpireGrants(now);
  ExpireSilentSessions(now);
  for (Session& session : sessions_.all() | std::views::values) {
    session.send_due |=
        (!session.ends.empty() && now >= session.ends_resend.due()) ||
        now >= session.retry_at;
  }
  CheckCandidates(now);
  if (!upstream_ || state_ == UpstreamState::kNoUpstream) {
    return;
  }
  CheckCommandTimeouts(now);
  CheckListingTimeouts(now);
  CheckLease(now);
}

Instant DirectSidecar::Impl::NextWakeup() const {
  Instant next = grants_.NextLapse();
  const auto note_due = [&next](Instant due) { next = std::min(next, due); };
  for (const Session& session : sessions_.all() | std::views::values) {
    if (!session.ends.empty() && !session.timed_out) {
      note_due(session.ends_resend.due());
    }
    note_due(session.retry_at);
    if (!session.timed_out) {
      note_due(session.last_alive + settings_.times.session_timeout +
               Duration(1));
    }
  }
  for (const Candidate& candidate : candidates_) {
    note_due(std::min(candidate.check_due, candidate.expires_at));
  }
  if (!upstream_ || state_ == UpstreamState::kNoUpstream) {
    return next;
  }
  for (const ActiveRun& run : run_table_.runs() | std::views::values) {
    if (run.phase == RunPhase::kStopping || run.pending_command != 0) {
      note_due(run.command_due);
    }
    if (run.stop_required_since != Instant::max() &&
        state_ == UpstreamState::kReady) {
      note_due(run.stop_required_since + settings_.times.stop_confirm_timeout +
               Duration(1));
    }
  }
  for (const OpenListing& listing : listings_ | std::views::values) {
    note_due(listing.deadline);
  }
  if (listings_.empty() && NeedsListings()) {
    note_due(next_listing_);
  }
  if (state_ == UpstreamState::kLeaseExpiring) {
    note_due(lease_end_);
  }
  return next;
}

void DirectSidecar::Impl::FlushEffects(Instant now, SidecarEffects& effects) {
  if (upstream_ && state_ != UpstreamState::kNoUpstream) {
    ListIfDue(now);
  }
  GrantFreeCapacity(now);
  for (Session& session : sessions_.all() | std::views::values) {
    if (session.send_due) {
      SendMessages(now, session);
    }
  }
  std::ranges::move(effects_, std::back_inserter(effects));
  effects_.clear();
}

SidecarMessage DirectSidecar::Impl::ComposeMessage(Instant now,
                                                   const Session& session) {
  SidecarMessage message;
  message.from = self_;
  message.to_incarnation = session.entry.incarnation;
  message.echoed_sent_at = session.echoed_sent_at;
  message.clock = ToMicros(now);
  message.control = control_;
  message.accepts_tasks = AcceptsTasks();
  if (upstream_) {
    message.upstream = upstream_->profile;
    message.free = grants_.FreeFor(session.entry.name, run_table_.Free());
    message.granted = grants_.HasReservation(session.entry.name);
  }
  if (crash_.number > 0 && now - crash_noticed_at_ < kCrashMemory) {
    message.crash = crash_;
    message.crash.age_micros = (now - crash_noticed_at_).count();
  }
  return message;
}

void DirectSidecar::Impl::SendMessages(Instant now, Session& session) {
  session.send_due = false;
  session.retry_at = Instant::max();
  // The ends themselves serve as the request for an answer.
  if (session.ends_resend.ActionAt(now, session.last_alive) ==
      policy::ResendTimer::Action::kProbe) {
    session.ends_resend.Probed();
  } else {
    session.ends_resend.Sent(now, settings_.resend_interval);
  }
  SidecarMessage message = ComposeMessage(now, session);
  const size_t fixed_bytes =
      session.ends.empty() && session.pending_replies.empty()
          ? 0
          : wire::EncodedSize(message);
  policy::MessageBudget budget(fixed_bytes);
  // Ends come first: the entry places the freed capacity, and callers wait.
  SessionTable::CopyEnds(session, budget, message.ends);
  SessionTable::TakeReplies(session, budget, message.replies);
  effects_.push_back(SendToEntryEffect{session.entry.name, std::move(message)});
  while (!session.pending_replies.empty()) {
    message = ComposeMessage(now, session);
    budget = policy::MessageBudget(fixed_bytes);
    SessionTable::TakeReplies(session, budget, message.replies);
    effects_.push_back(
        SendToEntryEffect{session.entry.name, std::move(message)});
  }
}

void DirectSidecar::Impl::OnNotSent(Instant now,
                                    const InstanceName& to,
                                    const SidecarMessage& message) {
  const auto it = sessions_.all().find(to);
  if (it == sessions_.all().end() ||
      it->second.entry.incarnation != message.to_incarnation) {
    return;
  }
  Session& session = it->second;
  for (const OfferReply& reply : message.replies) {
    SessionTable::AddPendingReply(session, reply);
  }
  session.send_due = false;
  session.retry_at = now + kSocketRetryDelay;
  if (!message.ends.empty()) {
    session.ends_resend.NotSent(session.retry_at);
  }
}

DirectSidecar::DirectSidecar(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

DirectSidecar::~DirectSidecar() = default;

std::unique_ptr<DirectSidecar> DirectSidecar::Create(
    Peer self,
    uint64_t first_token,
    const DirectSidecarSettings& settings,
    DirectSidecarHooks hooks) {
  return std::unique_ptr<DirectSidecar>(
      new DirectSidecar(std::make_unique<Impl>(std::move(self), first_token,
                                               settings, std::move(hooks))));
}

void DirectSidecar::OnMessage(Instant now,
                              const EntryMessage& message,
                              SidecarEffects& effects) {
  impl_->OnMessage(now, message);
  impl_->FlushEffects(now, effects);
}

void DirectSidecar::OnNotSent(Instant now,
                              const InstanceName& to,
                              const SidecarMessage& message) {
  impl_->OnNotSent(now, to, message);
}

void DirectSidecar::OnUpstreamAnnounced(
    Instant now,
    const UpstreamAnnouncement& announcement,
    SidecarEffects& effects) {
  impl_->OnUpstreamAnnounced(now, announcement);
  impl_->FlushEffects(now, effects);
}

void DirectSidecar::RestoreUpstream(Instant now,
                                    const UpstreamAnnouncement& recorded,
                                    SidecarEffects& effects) {
  impl_->RestoreUpstream(now, recorded);
  impl_->FlushEffects(now, effects);
}

void DirectSidecar::OnUpstreamLeft(Instant now,
                                   std::string_view id,
                                   SidecarEffects& effects) {
  impl_->OnUpstreamLeft(now, id);
  impl_->FlushEffects(now, effects);
}

void DirectSidecar::OnCommandResult(Instant now,
                                    uint64_t number,
                                    CommandResult result,
                                    UpstreamMillis clock,
                                    SidecarEffects& effects) {
  impl_->OnCommandResult(now, number, result, clock);
  impl_->FlushEffects(now, effects);
}

void DirectSidecar::OnListing(Instant now,
                              uint64_t number,
                              const Listing& listing,
                              UpstreamMillis clock,
                              SidecarEffects& effects) {
  impl_->OnListing(now, number, listing, clock);
  impl_->FlushEffects(now, effects);
}

void DirectSidecar::OnListingFailed(Instant now,
                                    uint64_t number,
                                    CommandResult result,
                                    SidecarEffects& effects) {
  impl_->OnListingFailed(now, number, result);
  impl_->FlushEffects(now, effects);
}

void DirectSidecar::SetPlacementAllowed(Instant now,
                                        bool allowed,
                                        SidecarEffects& effects) {
  impl_->SetPlacementAllowed(allowed);
  impl_->FlushEffects(now, effects);
}

void DirectSidecar::SetControlPosition(const ControlPosition& position) {
  impl_->SetControlPosition(position);
}

void DirectSidecar::Stop(Instant now, SidecarEffects& effects) {
  impl_->Stop();
  impl_->FlushEffects(now, effects);
}

void DirectSidecar::OnWakeup(Instant now, SidecarEffects& effects) {
  impl_->OnWakeup(now);
  impl_->FlushEffects(now, effects);
}

Instant DirectSidecar::NextWakeup() const {
  return impl_->NextWakeup();
}

DirectSidecarStatus DirectSidecar::Status() const {
  return impl_->Status();
}

}  // namespace filbertwick::core::direct

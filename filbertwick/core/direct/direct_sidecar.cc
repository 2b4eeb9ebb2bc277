#include "filbertwick/core/direct/direct_sidecar_impl.h"

namespace filbertwick::core::direct {

void DirectSidecar::Impl::OnMessage(Instant now, const EntryMessage& message) {
  bool replaced = false;
  Session* session = sessions_.Open(message.from, replaced);
  if (session == nullptr) {
    return;
  }
  if (replaced) {
    effects_.push_back(
        LogLine("entry_restarted").Add("entry", message.from.name.value()));
    OrphanOtherLives(now, message.from);
  }
  session->asked_at = std::max(session->asked_at, message.sent);
  if (message.to_incarnation != self_.incarnation) {
    // Everything in it is meant for an earlier life; the answer tells of this.
    session->due = true;
    return;
  }
  const Instant echoed = FromMicros(message.echoed);
  session->fresh = std::max(session->fresh, echoed);
  if (session->orphaned &&
      now - session->fresh <= settings_.times.orphan_after) {
    session->orphaned = false;
  }
  session->waiting = message.waiting;
  session->due |= message.wants_reply;
  SessionTable::TakeEnds(*session, message.acknowledged_end);
  for (const TaskRun& run : message.stops) {
    TakeStop(now, *session, run);
  }
  for (const Offer& offer : message.offers) {
    TakeOffer(now, *session, message.echoed, offer);
  }
}

void DirectSidecar::Impl::TakeOffer(Instant now,
                                    Session& session,
                                    ClockReading echoed,
                                    const Offer& offer) {
  if (const OfferReply* given = SessionTable::FindReply(session, offer.id)) {
    session.new_replies.push_back(*given);
    session.due = true;
    return;
  }
  const bool fresh = now - FromMicros(echoed) <= settings_.times.offer_valid &&
                     now - session.fresh <= settings_.times.orphan_after;
  OfferReply reply;
  reply.id = offer.id;
  for (const OfferedTask& task : offer.tasks) {
    const Refusal refusal = Judge(session, offer, task, fresh);
    reply.refusals.push_back(refusal);
    if (refusal == Refusal::kNone && ledger_.Find(task.run.task) == nullptr) {
      ActiveRun run;
      run.id = task.run;
      run.needs = task.needs;
      run.estimate = Duration(task.estimate_micros);
      run.owner = session.entry;
      StartTask(now, ledger_.Hold(std::move(run)), offer.spec);
    }
  }
  SessionTable::AddReply(session, std::move(reply));
}

Refusal DirectSidecar::Impl::Judge(const Session& session,
                                   const Offer& offer,
                                   const OfferedTask& task,
                                   bool fresh) {
  if (const ActiveRun* held = ledger_.Find(task.run.task)) {
    return held->id == task.run && held->owner == session.entry
               ? Refusal::kNone
               : Refusal::kOtherRun;
  }
  if (!fresh) {
    return Refusal::kStale;
  }
  if (session.stopped_early.contains(task.run)) {
    return Refusal::kStopped;
  }
  if (!IsOpen() || offer.service != upstream_->profile.service) {
    return Refusal::kClosed;
  }
  return ledger_.Free().Covers(task.needs) ? Refusal::kNone : Refusal::kNoRoom;
}

void DirectSidecar::Impl::TakeStop(Instant now,
                                   Session& session,
                                   const TaskRun& run) {
  if (ActiveRun* held = ledger_.FindRun(run)) {
    if (held->owner == session.entry) {
      OweStop(now, *held);
    }
    return;
  }
  const bool told = std::ranges::any_of(
      session.ends, [&](const RunEnd& end) { return end.run == run; });
  session.due = true;
  if (told) {
    return;
  }
  session.stopped_early[run] = now + settings_.times.offer_valid * 2;
  RunEnd end;
  end.run = run;
  end.kind = EndKind::kNotStarted;
  SessionTable::AddEnd(session, std::move(end));
}

void DirectSidecar::Impl::Orphan(Instant now, const Peer& owner) {
  for (ActiveRun& run : ledger_.runs() | std::views::values) {
    if (run.owner == owner) {
      OweStop(now, run);
    }
  }
}

void DirectSidecar::Impl::OrphanOtherLives(Instant now, const Peer& present) {
  for (ActiveRun& run : ledger_.runs() | std::views::values) {
    if (run.owner.name == present.name && run.owner != present) {
      OweStop(now, run);
    }
  }
}

void DirectSidecar::Impl::OrphanSilent(Instant now) {
  for (Session& session : sessions_.all() | std::views::values) {
    std::erase_if(session.stopped_early,
                  [now](const auto& item) { return item.second <= now; });
    if (session.orphaned ||
        now - session.fresh <= settings_.times.orphan_after) {
      continue;
    }
    session.orphaned = true;
    session.waiting = false;
    const bool has_runs = std::ranges::any_of(
        ledger_.runs() | std::views::values,
        [&](const ActiveRun& run) { return run.owner == session.entry; });
    if (has_runs) {
      effects_.push_back(LogLine("entry_silent")
                             .Add("entry", session.entry.name.value())
                             .Add("age_us", (now - session.fresh).count()));
      Orphan(now, session.entry);
    }
  }
}

void DirectSidecar::Impl::OnWakeup(Instant now) {
  OrphanSilent(now);
  for (Session& session : sessions_.all() | std::views::values) {
    session.due |= !session.ends.empty() && now >= session.resend_due;
  }
  if (!upstream_ || mode_ == Mode::kAbsent) {
    return;
  }
  WatchOrders(now);
  WatchListings(now);
  WatchLapse(now);
}

Instant DirectSidecar::Impl::NextWakeup() const {
  Instant next = Instant::max();
  const auto note = [&next](Instant due) { next = std::min(next, due); };
  for (const Session& session : sessions_.all() | std::views::values) {
    if (!session.ends.empty() && !session.orphaned) {
      note(session.resend_due);
    }
    if (!session.orphaned) {
      note(session.fresh + settings_.times.orphan_after + Duration(1));
    }
  }
  if (!upstream_ || mode_ == Mode::kAbsent) {
    return next;
  }
  for (const ActiveRun& run : ledger_.runs() | std::views::values) {
    if (run.phase == RunPhase::kStopping || run.open_order != 0) {
      note(run.order_due);
    }
    if (run.stop_owed != Instant::max() && mode_ == Mode::kOpen) {
      note(run.stop_owed + settings_.times.stop_patience + Duration(1));
    }
  }
  for (const OpenListing& listing : listings_ | std::views::values) {
    note(listing.due);
  }
  if (listings_.empty() &&
      (mode_ == Mode::kSyncing || !ledger_.runs().empty())) {
    note(listing_due_);
  }
  if (mode_ == Mode::kLapsing) {
    note(lease_end_);
  }
  return next;
}

void DirectSidecar::Impl::Finish(Instant now, SidecarEffects& effects) {
  if (upstream_ && mode_ != Mode::kAbsent) {
    KeepListing(now);
  }
  for (Session& session : sessions_.all() | std::views::values) {
    if (!session.due) {
      continue;
    }
    session.due = false;
    session.resend_due = now + settings_.resend_after;
    SidecarMessage message;
    message.from = self_;
    message.to_incarnation = session.entry.incarnation;
    message.asked_at = session.asked_at;
    message.clock = ToMicros(now);
    message.control = control_;
    message.open = IsOpen();
    if (upstream_) {
      message.upstream = upstream_->profile;
      message.free = ledger_.Free();
    }
    message.replies = std::exchange(session.new_replies, {});
    message.ends.assign(session.ends.begin(), session.ends.end());
    effects_.push_back(
        SendToEntryEffect{session.entry.name, std::move(message)});
  }
  std::ranges::move(effects_, std::back_inserter(effects));
  effects_.clear();
}

DirectSidecar::DirectSidecar(std::unique_ptr<Impl> impl)
    : impl_(std::move(impl)) {}

DirectSidecar::~DirectSidecar() = default;

std::unique_ptr<DirectSidecar> DirectSidecar::Create(
    Peer self,
    uint64_t first_token,
    const DirectSidecarSettings& settings) {
  return std::unique_ptr<DirectSidecar>(new DirectSidecar(
      std::make_unique<Impl>(std::move(self), first_token, settings)));
}

void DirectSidecar::OnMessage(Instant now,
                              const EntryMessage& message,
                              SidecarEffects& effects) {
  impl_->OnMessage(now, message);
  impl_->Finish(now, effects);
}

void DirectSidecar::OnUpstreamAnnounced(
    Instant now,
    const UpstreamAnnouncement& announcement,
    SidecarEffects& effects) {
  impl_->OnUpstreamAnnounced(now, announcement);
  impl_->Finish(now, effects);
}

void DirectSidecar::OnUpstreamLeft(Instant now,
                                   std::string_view id,
                                   SidecarEffects& effects) {
  impl_->OnUpstreamLeft(now, id);
  impl_->Finish(now, effects);
}

void DirectSidecar::OnCommandResult(Instant now,
                                    uint64_t number,
                                    CommandResult answer,
                                    UpstreamMillis clock,
                                    SidecarEffects& effects) {
  impl_->OnCommandResult(now, number, answer, clock);
  impl_->Finish(now, effects);
}

void DirectSidecar::OnListing(Instant now,
                              uint64_t number,
                              const Listing& listing,
                              UpstreamMillis clock,
                              SidecarEffects& effects) {
  impl_->OnListing(now, number, listing, clock);
  impl_->Finish(now, effects);
}

void DirectSidecar::OnListingFailed(Instant now,
                                    uint64_t number,
                                    CommandResult answer,
                                    SidecarEffects& effects) {
  impl_->OnListingFailed(now, number, answer);
  impl_->Finish(now, effects);
}

void DirectSidecar::SetPlacementAllowed(Instant now,
                                        bool allowed,
                                        SidecarEffects& effects) {
  impl_->SetPlacementAllowed(allowed);
  impl_->Finish(now, effects);
}

void DirectSidecar::SetControlPosition(const ControlPosition& position) {
  impl_->SetControlPosition(position);
}

void DirectSidecar::Stop(Instant now, SidecarEffects& effects) {
  impl_->Stop();
  impl_->Finish(now, effects);
}

void DirectSidecar::OnWakeup(Instant now, SidecarEffects& effects) {
  impl_->OnWakeup(now);
  impl_->Finish(now, effects);
}

Instant DirectSidecar::NextWakeup() const {
  return impl_->NextWakeup();
}

DirectSidecarStatus DirectSidecar::Status() const {
  return impl_->Status();
}

}  // namespace filbertwick::core::direct

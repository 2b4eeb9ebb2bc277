#include "filbertwick/core/direct/direct_sidecar_impl.h"

namespace filbertwick::core::direct {
namespace {

/// How long a candidate is checked after its newest announcement; longer than
/// the interval at which a live upstream announces itself.
constexpr Duration kCandidateTimeout = std::chrono::seconds(2);
/// Most candidates at a time. Announcements may come from any writer, so this
/// bounds their memory and the identity checks.
constexpr size_t kMaxCandidates = 8;
/// Maximum encoded size of an upstream's profile, in bytes. Every message to an
/// entry contains it.
constexpr size_t kMaxProfileBytes = 4 * 1024;
/// Most bytes of a service that a log line repeats.
constexpr size_t kMaxLoggedBytes = 256;

bool IsSameIncarnation(const UpstreamAnnouncement& a,
                       const UpstreamAnnouncement& b) {
  return a.id == b.id && a.started_unix_millis == b.started_unix_millis;
}

}  // namespace

void DirectSidecar::Impl::OnUpstreamAnnounced(
    Instant now,
    const UpstreamAnnouncement& announcement) {
  if (wire::EncodedSize(announcement.profile) > kMaxProfileBytes) {
    LogRejectedAnnouncement(announcement, "profile_above_4096_bytes");
    return;
  }
  if (upstream_ && state_ != UpstreamState::kNoUpstream &&
      announcement.id == upstream_->id &&
      announcement.started_unix_millis == upstream_->started_unix_millis) {
    UpdateUpstream(now, announcement);
  } else {
    AddCandidate(now, announcement);
  }
}

void DirectSidecar::Impl::UpdateUpstream(
    Instant now,
    const UpstreamAnnouncement& announcement) {
  const std::string& service = announcement.profile.service;
  if (upstream_->has_profile && service != upstream_->profile.service) {
    // A process serves one service for its whole life, so another writer has
    // sent one of the two announcements: the one without a route.
    if (hooks_.has_route_to(upstream_->profile.service) ||
        !hooks_.has_route_to(service)) {
      LogRejectedAnnouncement(announcement, "other_service");
      return;
    }
  } else if (announcement.sequence <= upstream_->sequence) {
    return;
  }
  upstream_->sequence = announcement.sequence;
  RecordUpstreamClock(now, announcement.clock);
  const bool begins_draining = announcement.draining && !upstream_->draining;
  const bool changes_profile =
      !upstream_->has_profile || upstream_->profile != announcement.profile;
  if (begins_draining) {
    upstream_->draining = true;
    effects_.push_back(
        LogLine("upstream_draining").Add("upstream", upstream_->id));
  }
  if (changes_profile) {
    upstream_->has_profile = true;
    upstream_->profile = announcement.profile;
    UpdateHasRoute();
    run_table_.SetCapacity(announcement.profile.capacity);
    LogProfile("upstream_profile");
  }
  if (begins_draining || changes_profile) {
    RecordUpstream();
    NotifyAllEntries();
  }
}

void DirectSidecar::Impl::RestoreUpstream(
    Instant now,
    const UpstreamAnnouncement& recorded) {
  if (upstream_ || recorded.draining || recorded.started_unix_millis == 0 ||
      wire::EncodedSize(recorded.profile) > kMaxProfileBytes) {
    return;
  }
  UpstreamAnnouncement silent = recorded;
  silent.sequence = 0;
  silent.clock = 0;
  AddCandidate(now, silent);
}

void DirectSidecar::Impl::AddCandidate(
    Instant now,
    const UpstreamAnnouncement& announcement) {
  auto it = std::ranges::find_if(candidates_, [&](const Candidate& candidate) {
    return IsSameIncarnation(candidate.announcement, announcement);
  });
  if (it == candidates_.end()) {
    if (candidates_.size() == kMaxCandidates) {
      candidates_.erase(
          std::ranges::min_element(candidates_, {}, &Candidate::expires_at));
    }
    it = candidates_.emplace(candidates_.end());
    it->announcement = announcement;
    SendIdentityCheck(now, *it);
  } else if (announcement.sequence > it->announcement.sequence) {
    it->announcement = announcement;
  }
  it->expires_at = now + kCandidateTimeout;
}

void DirectSidecar::Impl::SendIdentityCheck(Instant now, Candidate& candidate) {
  // A new incarnation with the id of the present one accepts late commands for
  // its predecessor until it sees a higher token.
  if (upstream_ && candidate.announcement.id == upstream_->id) {
    ++fencing_token_;
  }
  // Acknowledges no ends and leaves the lease as it is, because the process
  // that answers may be another than the announced one.
  ListCommand command;
  command.header = NextHeader(candidate.announcement.id);
  candidate.open_check = command.header.number;
  candidate.check_token = command.header.fencing_token;
  candidate.check_due = now + settings_.listing_timeout_margin;
  effects_.emplace_back(std::move(command));
}

Candidate* DirectSidecar::Impl::FindCandidate(uint64_t check) {
  const auto it = std::ranges::find(candidates_, check, &Candidate::open_check);
  return it == candidates_.end() ? nullptr : &*it;
}

void DirectSidecar::Impl::OnIdentityChecked(Instant now,
                                            Candidate& candidate,
                                            const Listing& listing,
                                            UpstreamMillis clock) {
  UpstreamAnnouncement announcement = std::move(candidate.announcement);
  RemoveCandidate(candidate);
  if (listing.started_unix_millis != announcement.started_unix_millis) {
    LogRejectedAnnouncement(announcement, "other_process");
    if (upstream_ && state_ != UpstreamState::kNoUpstream &&
        upstream_->id == announcement.id) {
      CheckStartTime(now, listing, clock);
    }
    return;
  }
  if (clock > 0) {
    announcement.clock = clock;
  }
  if (announcement.clock <= 0) {
    LogRejectedAnnouncement(announcement, "no_clock");
    return;
  }
  BeginIncarnation(now, announcement);
  RecordUpstream();
}

void DirectSidecar::Impl::OnIdentityCheckFailed(Instant now,
                                                Candidate& candidate,
                                                CommandResult result) {
  if (result == CommandResult::kOtherIncarnation) {
    LogRejectedAnnouncement(candidate.announcement, "other_process");
    RemoveCandidate(candidate);
    return;
  }
  if (result == CommandResult::kFenced) {
    // A check of another candidate may have overtaken this one.
    if (candidate.check_token == fencing_token_) {
      RaiseFencingToken();
    }
    SendIdentityCheck(now, candidate);
    return;
  }
  candidate.open_check = 0;
  candidate.check_due = now + settings_.retry_delay;
}

void DirectSidecar::Impl::RemoveCandidate(const Candidate& candidate) {
  candidates_.erase(candidates_.begin() + (&candidate - candidates_.data()));
}

void DirectSidecar::Impl::CheckCandidates(Instant now) {
  std::erase_if(candidates_, [&](const Candidate& candidate) {
    const bool expired = now >= candidate.expires_at;
    if (expired) {
      LogRejectedAnnouncement(candidate.announcement, "no_answer");
    }
    return expired;
  });
  for (Candidate& candidate : candidates_) {
    if (now >= candidate.check_due) {
      SendIdentityCheck(now, candidate);
    }
  }
}

void DirectSidecar::Impl::LogRejectedAnnouncement(
    const UpstreamAnnouncement& announcement,
    std::string_view cause) {
  effects_.push_back(LogLine("announcement_rejected")
                         .Add("upstream", announcement.id)
                         .Add("service", announcement.profile.service.substr(
                                             0, kMaxLoggedBytes))
                         .Add("born", announcement.started_unix_millis)
                         .Add("cause", cause));
}

void DirectSidecar::Impl::RecordUpstream() {
  RecordUpstreamEffect record;
  if (state_ != UpstreamState::kNoUpstream) {
    UpstreamAnnouncement& upstream = record.upstream.emplace();
    upstream.id = upstream_->id;
    upstream.started_unix_millis = upstream_->started_unix_millis;
    upstream.draining = upstream_->draining;
    upstream.profile = upstream_->profile;
  }
  effects_.emplace_back(std::move(record));
}

void DirectSidecar::Impl::LogProfile(std::string_view event) {
  const UpstreamProfile& profile = upstream_->profile;
  effects_.push_back(LogLine(event)
                         .Add("upstream", upstream_->id)
                         .Add("service", profile.service)
                         .Add("born", upstream_->started_unix_millis)
                         .Add("cpu_millis", profile.capacity.cpu_millis));
}

void DirectSidecar::Impl::BeginIncarnation(
    Instant now,
    const UpstreamAnnouncement& announcement) {
  TakeLostRuns(now, KindOfLoss(), "restarted");
  crash_noticed_ = false;
  // An incarnation with the same id accepts delayed commands that were meant
  // for the earlier one, until it sees a higher token. They may start any of
  // the lost runs again, so the losses are reported only after the sync.
  // With another id it rejects them. That the earlier process has ended is
  // proved by the answer of this one at its address.
  if (!upstream_ || upstream_->id != announcement.id) {
    ReportLostRuns(now);
  }
  // Open checks may have been answered by a process that ran before this one.
  for (Candidate& candidate : candidates_) {
    candidate.open_check = 0;
    candidate.check_due = now;
  }
  lease_unknown_ = !upstream_ || upstream_->id == announcement.id;
  lease_end_ = now;
  ++fencing_token_;
  upstream_.emplace();
  upstream_->id = announcement.id;
  upstream_->started_unix_millis = announcement.started_unix_millis;
  upstream_->sequence = announcement.sequence;
  upstream_->draining = announcement.draining;
  upstream_->profile = announcement.profile;
  UpdateHasRoute();
  run_table_.SetCapacity(announcement.profile.capacity);
  pending_commands_.clear();
  RecordUpstreamClock(now, announcement.clock);
  LogProfile("upstream_found");
  BeginSync(now);
}

bool DirectSidecar::Impl::CheckStartTime(Instant now,
                                         const Listing& listing,
                                         UpstreamMillis clock) {
  if (listing.started_unix_millis == 0 ||
      listing.started_unix_millis == upstream_->started_unix_millis) {
    return true;
  }
  // The upstream has restarted under the same id: the earlier runs are gone.
  // The listing was requested after the earlier incarnation had proved its
  // identity (BeginIncarnation() drops those before), so its process is the
  // later one, whatever its clock says.
  BeginUnannouncedIncarnation(now, listing.started_unix_millis, clock);
  return false;
}

void DirectSidecar::Impl::BeginUnannouncedIncarnation(
    Instant now,
    int64_t started_unix_millis,
    UpstreamMillis clock) {
  effects_.push_back(LogLine("upstream_reborn")
                         .Add("upstream", upstream_->id)
                         .Add("born", started_unix_millis));
  UpstreamAnnouncement restarted;
  restarted.id = upstream_->id;
  restarted.started_unix_millis = started_unix_millis;
  restarted.profile = upstream_->profile;
  restarted.clock = clock;
  BeginIncarnation(now, restarted);
  upstream_->has_profile = false;
}

void DirectSidecar::Impl::OnUpstreamLeft(Instant now, std::string_view id) {
  if (!upstream_ || state_ == UpstreamState::kNoUpstream ||
      upstream_->id != id) {
    return;
  }
  effects_.push_back(LogLine("upstream_departs").Add("upstream", id));
  upstream_->departure_announced_at = now;
  NotifyAllEntries();
  SendListCommand(now, Duration(0));
}

void DirectSidecar::Impl::CheckDeparture(Instant listing_requested_at) {
  // An upstream that drains takes no tasks in any case, and may serve on for a
  // moment after it has announced its departure.
  if (!upstream_->departure_announced_at || upstream_->draining ||
      listing_requested_at < *upstream_->departure_announced_at) {
    return;
  }
  effects_.push_back(LogLine("upstream_stays").Add("upstream", upstream_->id));
  upstream_->departure_announced_at.reset();
  NotifyAllEntries();
}

void DirectSidecar::Impl::CompleteDeparture() {
  effects_.push_back(LogLine("upstream_left").Add("upstream", upstream_->id));
  state_ = UpstreamState::kNoUpstream;
  listings_.clear();
  pending_commands_.clear();
  RecordUpstream();
  NotifyAllEntries();
}

}  // namespace filbertwick::core::direct

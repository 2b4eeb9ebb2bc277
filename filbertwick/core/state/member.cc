#include "filbertwick/core/state/member.h"

#include <algorithm>
#include <cassert>
#include <ranges>
#include <utility>

#include "filbertwick/base/hash.h"

namespace filbertwick::core {
namespace {

/// Maximum size of the control records in a message, in bytes (estimated).
constexpr size_t kMaxRecordsMessageBytes = 256UL * 1024;
/// Maximum number of replaced incarnations remembered per name.
constexpr size_t kRetiredIncarnations = 8;
/// A gap between ticks of more than this many probe intervals counts as a pause
/// of the process.
constexpr int kMaxTickGapIntervals = 2;

}  // namespace

Member::Member(const NodeSettings& settings, MemberHooks hooks, Instant now)
    : settings_(settings),
      hooks_(std::move(hooks)),
      started_at_(now),
      resumed_at_(now),
      last_tick_at_(now),
      replica_(settings.info.region),
      evidence_(settings.info.name, settings.timing, settings.rules),
      gate_(settings, now) {}

bool Member::IsPeer(const wire::InstanceInfo& info) const {
  return info.region == settings_.info.region &&
         info.name != settings_.info.name;
}

bool Member::AcceptSender(Instant now, const wire::Sender& from) {
  const auto it = views_.find(from.name);
  if (it == views_.end()) {
    return true;
  }
  PeerView& view = it->second;
  if (std::ranges::find(view.retired, from.incarnation) != view.retired.end()) {
    return false;
  }
  if (view.incarnation != from.incarnation) {
    const bool replaced = view.incarnation != 0;
    if (replaced) {
      view.retired.push_back(view.incarnation);
      if (view.retired.size() > kRetiredIncarnations) {
        view.retired.erase(view.retired.begin());
      }
      view.replaced_at = now;
      view.is_voter = false;
      view.stopping = false;
      view.token = 0;
      view.load = {};
      view.offset = 0;
    }
    view.incarnation = from.incarnation;
    if (replaced) {
      hooks_.replaced(from.name);
    }
  }
  view.heard_at = now;
  return true;
}

void Member::OnProbe(Instant now,
                     const wire::Sender& from,
                     const wire::Probe& probe,
                     Effects& effects) {
  if (replica_.MergeSummary(probe.summary)) {
    hooks_.epoch_raised();
  }
  const auto it = views_.find(from.name);
  if (it != views_.end()) {
    it->second.is_voter = probe.is_voter;
    it->second.stopping = probe.stopping;
    it->second.offset = probe.summary.offset;
  }
  wire::ProbeReply reply;
  reply.echo = probe.sent;
  reply.summary = replica_.MakeSummary();
  reply.is_voter = is_voter();
  reply.token = ToMicros(now);
  if (hooks_.own_load) {
    reply.load = hooks_.own_load();
  }
  effects.push_back(SendEffect{from.name, std::move(reply)});
  RequestMissingRecords(now, from.name, probe.summary.offset, effects);
}

void Member::OnProbeReply(Instant now,
                          const wire::Sender& from,
                          const wire::ProbeReply& reply,
                          Effects& effects) {
  const auto it = views_.find(from.name);
  const Instant sent = FromMicros(reply.echo);
  if (it == views_.end() || sent > now || sent < started_at_) {
    return;
  }
  PeerView& view = it->second;
  view.offset = std::max(view.offset, reply.summary.offset);
  view.is_voter = reply.is_voter;
  view.token = std::max(view.token, reply.token);
  if (replica_.MergeSummary(reply.summary)) {
    hooks_.epoch_raised();
  }
  if (reply.is_voter) {
    gate_.RecordVoterReply(from.name, reply.summary.offset);
  }
  const Instant counted_from = settings_.rules.round_trip_age ? sent : now;
  evidence_.Record(from.name, {counted_from, reply.summary, reply.is_voter});
  evidence_extendable_ = true;
  gate_.Update(now, replica_.region(), control().offset());
  hooks_.load(from.name, reply.load);
  view.load = reply.load;
  RequestMissingRecords(now, from.name, reply.summary.offset, effects);
}

void Member::RecordLoad(const InstanceName& name,
                        wire::ClockToken token,
                        const wire::Load& load) {
  const auto it = views_.find(name);
  if (it != views_.end()) {
    it->second.token = std::max(it->second.token, token);
    it->second.load = load;
    hooks_.load(name, load);
  }
}

void Member::RequestMissingRecords(Instant now,
                                   const InstanceName& from,
                                   wire::LogOffset offset,
                                   Effects& effects) {
  const bool requested_recently =
      records_requested_at_ != Instant::min() &&
      now - records_requested_at_ < settings_.timing.probe_interval;
  if (offset <= control().offset() || requested_recently) {
    return;
  }
  records_requested_at_ = now;
  effects.push_back(SendEffect{from, wire::RecordsRequest{control().offset()}});
}

void Member::OnRecordsRequest(const wire::Sender& from,
                              const wire::RecordsRequest& request,
                              Effects& effects) {
  if (request.from >= control().offset()) {
    return;
  }
  if (auto records =
          replica_.RecordsFrom(request.from, kMaxRecordsMessageBytes)) {
    effects.push_back(SendEffect{from.name, *std::move(records)});
    return;
  }
  effects.push_back(SendEffect{from.name, wire::Snapshot{control().Encode()}});
}

void Member::OnRecords(const wire::Records& records) {
  if (records.first > control().offset()) {
    return;
  }
  const auto skip = control().offset() - records.first;
  for (const wire::ControlRecord& record :
       records.records | std::views::drop(skip)) {
    ApplyRecord(record);
  }
}

void Member::OnSnapshot(const wire::Snapshot& snapshot) {
  InstallState(snapshot.state);
}

void Member::InstallState(std::string_view state) {
  if (!replica_.InstallState(state).ok()) {
    return;
  }
  epoch_offsets_.clear();
  SyncViews();
  hooks_.state_installed();
}

void Member::OnLogRead(const LogReadEvent& event, Effects& effects) {
  wire::LogOffset at = event.first;
  for (const wire::ControlRecord& record : event.records) {
    if (at > control().offset()) {
      // The records in between were trimmed from the log: continue from the
      // state of the checkpoint.
      const auto* checkpoint = std::get_if<wire::Checkpoint>(&record.body);
      if (checkpoint != nullptr && checkpoint->offset == at) {
        InstallState(checkpoint->state);
      }
    }
    if (at == control().offset()) {
      ApplyRecord(record);
    }
    ++at;
  }
  if (at > control().offset()) {
    effects.push_back(LogEffect{"Records of the control stream are missing."});
  }
}

void Member::ApplyRecord(const wire::ControlRecord& record) {
  const wire::LogOffset offset = control().offset();
  const ApplyResult result = replica_.Apply(record);
  evidence_invalid_ = true;
  // An instance that has applied `offset + 1` records knows the epochs of this
  // record; QuorumKnowsEpoch() relies on it.
  if (const auto* take = std::get_if<wire::TakeShards>(&record.body);
      take != nullptr && take->region == settings_.info.region) {
    for (const wire::ShardEpoch& taken : take->shards) {
      epoch_offsets_[taken.shard] = offset + 1;
    }
  }
  if (std::holds_alternative<wire::ResetRegion>(record.body)) {
    epoch_offsets_.clear();
  }
  SyncViews();
  hooks_.applied(offset, record, result);
}

void Member::SyncViews() {
  evidence_invalid_ = true;
  const auto& instances = control().instances();
  std::erase_if(views_, [&](const auto& item) {
    const bool gone = !instances.contains(item.first);
    if (gone) {
      evidence_.Forget(item.first);
    }
    return gone;
  });
  for (const auto& [name, info] : instances) {
    if (IsPeer(info)) {
      views_.try_emplace(name);
    }
  }
}

std::span<const MemberSet> Member::MemberSets() const {
  const RegionState* region = replica_.region();
  return region == nullptr ? std::span<const MemberSet>()
                           : std::span<const MemberSet>(region->sets);
}

bool Member::HasQuorumEvidence(Instant now) const {
  // Evidence that was once sufficient may be used until it expires, whatever
  // summaries arrived later, so it isn't computed again here. Only a change of
  // the control state invalidates it, since the member sets may have changed.
  if (!evidence_invalid_ && evidence_until_ >= now) {
    return true;
  }
  return QuorumEvidenceUntil() >= now;
}

Instant Member::QuorumEvidenceUntil() const {
  if (evidence_invalid_ || evidence_extendable_) {
    evidence_until_ =
        evidence_.ValidUntil(MemberSets(), control().offset(), is_voter());
    evidence_invalid_ = false;
    evidence_extendable_ = false;
  }
  return evidence_until_;
}

bool Member::QuorumHasApplied(wire::LogOffset offset) const {
  return evidence_.QuorumHasApplied(MemberSets(), offset, is_voter());
}

bool Member::QuorumHasState(wire::LogOffset offset) const {
  const wire::StateSummary own = replica_.MakeSummary();
  return QuorumHasApplied(offset) &&
         std::ranges::all_of(own.overrides, [&](const auto& known) {
           return QuorumKnowsEpoch(known);
         });
}

bool Member::QuorumKnowsEpoch(const wire::ShardEpoch& epoch) const {
  const RegionState* region = replica_.region();
  wire::LogOffset offset = QuorumEvidence::kNotInLog;
  if (region != nullptr && epoch.shard < region->epochs.size() &&
      region->epochs[epoch.shard] >= epoch.epoch) {
    const auto it = epoch_offsets_.find(epoch.shard);
    // The epoch is in the control state, so an instance knows it once it has
    // applied the TakeShards record that set it. If the offset of that record
    // isn't known, such as after a snapshot, only an instance that has applied
    // as many records as this one is sure to know the epoch. Number 1 is the
    // exception: the ResetRegion record gives it to every shard, so the offset
    // of that record is used. A handover raises an epoch but keeps its number,
    // so this includes epochs of handovers before the first takeover.
    offset = it != epoch_offsets_.end() ? it->second : region->formed_offset;
    if (it == epoch_offsets_.end() && epoch.epoch.number > 1) {
      offset = control().offset();
    }
  }
  return evidence_.QuorumKnowsEpoch(MemberSets(), epoch, offset, is_voter());
}

const PeerView* Member::FindView(const InstanceName& name) const {
  const auto it = views_.find(name);
  return it == views_.end() ? nullptr : &it->second;
}

void Member::RaiseEpoch(wire::ShardId shard, const wire::Epoch& epoch) {
  replica_.UpdateEpoch(shard, epoch);
  epoch_offsets_.erase(shard);
  probe_all_ = true;
}

void Member::LearnEpoch(wire::ShardId shard, const wire::Epoch& epoch) {
  if (replica_.UpdateEpoch(shard, epoch)) {
    hooks_.epoch_raised();
  }
}

wire::ClockToken Member::RenewalToken(Instant now,
                                      const InstanceName& name) const {
  if (settings_.info.role != wire::Role::kEntry || !HasQuorumEvidence(now)) {
    return 0;
  }
  const PeerView* view = FindView(name);
  return view == nullptr ? 0 : view->token;
}

void Member::SendProbe(Instant now,
                       const InstanceName& name,
                       Effects& effects) {
  wire::Probe probe;
  probe.sent = ToMicros(now);
  probe.summary = replica_.MakeSummary();
  probe.is_voter = is_voter();
  probe.stopping = stopping_;
  probe.renewal = RenewalToken(now, name);
  effects.push_back(SendEffect{name, std::move(probe)});
}

void Member::Tick(Instant now, Effects& effects) {
  // A gap between ticks means that this process was paused: messages of others
  // may be waiting, so that their silence until now proves nothing.
  if (now - last_tick_at_ >
      kMaxTickGapIntervals * settings_.timing.probe_interval) {
    resumed_at_ = now;
  }
  last_tick_at_ = now;
  gate_.Update(now, replica_.region(), control().offset());
  evidence_extendable_ |= !gate_.open();
  const bool sends_probes =
      settings_.info.role == wire::Role::kEntry || !is_voter();
  const bool all = std::exchange(probe_all_, false);
  if (!sends_probes) {
    return;
  }
  for (auto& [name, view] : views_) {
    if (!all && view.probe_at > now) {
      continue;
    }
    view.probe_at = now + settings_.timing.probe_interval;
    SendProbe(now, name, effects);
  }
}

void Member::AnnounceStop() {
  stopping_ = true;
  probe_all_ = true;
}

Instant Member::NextWakeup() const {
  if (probe_all_) {
    return Instant::min();
  }
  return last_tick_at_ + settings_.timing.probe_interval;
}

uint64_t Member::Hash() const {
  Hasher hasher;
  hasher.Add(replica_.Hash());
  hasher.Add(is_voter());
  for (const auto& [name, view] : views_) {
    hasher.Add(name.value());
    hasher.Add(view.incarnation);
    hasher.Add(view.offset);
    hasher.Add(view.is_voter);
    hasher.Add(static_cast<uint64_t>(view.token));
    hasher.Add(static_cast<uint64_t>(ToMicros(view.heard_at)));
  }
  return hasher.digest();
}

}  // namespace filbertwick::core

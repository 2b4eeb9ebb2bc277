#include "filbertwick/core/entry/membership_controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "filbertwick/core/state/rendezvous.h"

namespace filbertwick::core {
namespace {

/// Delay between two entries that would append the same record.
constexpr Duration kStaggerInterval = std::chrono::milliseconds(250);

}  // namespace

MembershipController::MembershipController(const Member& member,
                                           ControlLogWriter& log_writer)
    : member_(member), log_writer_(log_writer) {}

void MembershipController::OnLogRead(Instant now, bool caught_up) {
  if (caught_up) {
    caught_up_at_ = now;
  }
}

void MembershipController::Tick(const Now& now, Effects& effects) {
  FormGeneration(now, effects);
  SettleStep(now, effects);
  RemoveSilentInstances(now, effects);
  WriteCheckpoint(now, effects);
}

bool MembershipController::HeardRecently(Instant now,
                                         const PeerView& view) const {
  return view.heard_at != Instant::min() &&
         now - view.heard_at <= 2 * member_.settings().timing.evidence_age;
}

Duration MembershipController::StaggerDelay() const {
  std::vector<InstanceName> entries;
  const wire::InstanceInfo& self = member_.settings().info;
  for (const auto& [name, info] : member_.control().instances()) {
    if (info.role == wire::Role::kEntry && info.region == self.region) {
      entries.push_back(name);
    }
  }
  const auto it = std::ranges::find(entries, self.name);
  return kStaggerInterval * (it - entries.begin());
}

bool MembershipController::MajorityCannotVote(Instant now,
                                              const RegionState& region) const {
  // Count the members of the newest set that are reachable but have no vote.
  const MemberSet& set = region.sets.back();
  const auto n = std::ranges::count_if(set.names, [&](const auto& name) {
    if (name == member_.settings().info.name) {
      return !member_.is_voter();
    }
    const PeerView* view = member_.FindView(name);
    return view != nullptr && HeardRecently(now, *view) && !view->is_voter;
  });
  return static_cast<size_t>(n) * 2 > set.names.size();
}

std::vector<wire::ResetMember> MembershipController::ReachableMembers(
    Instant now) const {
  const wire::InstanceInfo& self = member_.settings().info;
  std::vector<wire::ResetMember> members = {{self.name, self.incarnation}};
  for (const auto& [name, view] : member_.views()) {
    if (HeardRecently(now, view)) {
      members.push_back({name, view.incarnation});
    }
  }
  std::ranges::sort(members, {}, &wire::ResetMember::name);
  return members;
}

void MembershipController::FormGeneration(const Now& now, Effects& effects) {
  const TimingSettings& timing = member_.settings().timing;
  const wire::InstanceInfo& self = member_.settings().info;
  const RegionState* region = member_.replica().region();
  const bundle::Bundle* bundle = member_.control().bundle();
  // Only an instance that has joined and has applied the whole control log may
  // start a generation.
  const auto own = member_.control().instances().find(self.name);
  const bool registered = own != member_.control().instances().end() &&
                          own->second.incarnation == self.incarnation;
  const bool caught_up =
      caught_up_at_ != Instant::min() &&
      now.monotonic - caught_up_at_ <= 8 * timing.evidence_age;
  const uint32_t generation = region == nullptr ? 0 : region->generation;
  const bool requested =
      bundle != nullptr && generation > 0 && bundle->generation > generation;
  const bool generation_needed = generation == 0 || requested ||
                                 MajorityCannotVote(now.monotonic, *region);
  if (!registered || !caught_up || !generation_needed) {
    generation_needed_since_.reset();
    return;
  }
  // Restart the wait for every generation: right after one has started, the
  // other instances do not know it yet and still report that they have no
  // vote.
  if (!generation_needed_since_ || generation_needed_after_ != generation) {
    generation_needed_since_ = now.monotonic;
    generation_needed_after_ = generation;
  }
  // Wait until the other instances have been heard, then for the stagger delay.
  if (now.monotonic <
      *generation_needed_since_ + 2 * timing.evidence_age + StaggerDelay()) {
    return;
  }
  const uint32_t next = requested ? bundle->generation : generation + 1;
  log_writer_.Append(
      now,
      ChangeId(fmt::format("reset/{}/{}/{}", self.region.value(), next,
                           self.name.value())),
      wire::ResetRegion{self.region, next, ReachableMembers(now.monotonic)},
      effects);
}

void MembershipController::SettleStep(const Now& now, Effects& effects) {
  const RegionState* region = member_.replica().region();
  if (region == nullptr || region->sets.size() < 2 || !member_.is_voter()) {
    quorum_since_.reset();
    return;
  }
  // A majority of the new set must know every epoch that is known here before
  // the new set decides alone.
  const wire::LogOffset step = region->sets[1].since;
  if (!member_.QuorumHasState(step)) {
    quorum_since_.reset();
    return;
  }
  if (!quorum_since_ || quorum_step_ != step) {
    quorum_since_ = now.monotonic;
    quorum_step_ = step;
  }
  const TimingSettings& timing = member_.settings().timing;
  constexpr int64_t kMillion = 1'000'000;
  const Duration wait = 2 * timing.evidence_age;
  const Duration margin = wait * timing.clock_rate_ppm / kMillion + Duration(1);
  if (now.monotonic < *quorum_since_ + wait + margin + StaggerDelay()) {
    return;
  }
  const RegionName& name = member_.settings().info.region;
  log_writer_.Append(now,
                     ChangeId(fmt::format("settle/{}/{}", name.value(), step)),
                     wire::SettleMembers{name, step}, effects);
}

void MembershipController::RemoveSilentInstances(const Now& now,
                                                 Effects& effects) {
  if (!member_.is_voter() || !member_.HasQuorumEvidence(now.monotonic)) {
    return;
  }
  const Duration silence_limit =
      member_.settings().timing.removal_silence + StaggerDelay();
  for (const auto& [name, view] : member_.views()) {
    const Instant since = std::max(view.heard_at, member_.resumed_at());
    if (now.monotonic - since < silence_limit) {
      continue;
    }
    const wire::Incarnation incarnation =
        member_.control().instances().at(name).incarnation;
    log_writer_.Append(
        now, ChangeId(fmt::format("remove/{}/{}", name.value(), incarnation)),
        wire::LeaveInstance{name, incarnation}, effects);
  }
}

void MembershipController::WriteCheckpoint(const Now& now, Effects& effects) {
  const TimingSettings& timing = member_.settings().timing;
  const ControlState& control = member_.control();
  const wire::LogOffset since = control.offset() - control.checkpoint();
  const auto stagger_steps =
      static_cast<uint64_t>(StaggerDelay() / kStaggerInterval);
  const bool caught_up =
      caught_up_at_ != Instant::min() &&
      now.monotonic - caught_up_at_ <= 8 * timing.evidence_age;
  // Each entry waits for one more record than the entry before it, so that
  // usually only the first one writes the checkpoint.
  if (!caught_up || since < timing.checkpoint_records + stagger_steps) {
    return;
  }
  // Write one checkpoint at a time. A checkpoint is refused if other records
  // come before it in the log, and a refused one is itself such a record.
  if (log_writer_.IsPending(last_checkpoint_)) {
    return;
  }
  last_checkpoint_ =
      ChangeId(fmt::format("checkpoint/{}/{}", control.offset(),
                           member_.settings().info.name.value()));
  log_writer_.Append(now, last_checkpoint_,
                     wire::Checkpoint{control.offset(), control.Encode()},
                     effects);
}

}  // namespace filbertwick::core

#include "filbertwick/core/sidecar/sidecar_core.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "filbertwick/base/hash.h"
#include "filbertwick/core/outbox.h"
#include "filbertwick/core/sidecar/task_runner.h"
#include "filbertwick/core/state/audit.h"
#include "filbertwick/core/state/control_log_writer.h"
#include "filbertwick/core/state/member.h"

namespace filbertwick::core {
namespace {

/// Maximum time between two runs of the controllers, and minimum time between
/// two checks whether this sidecar has to join.
constexpr Duration kControllerInterval = std::chrono::milliseconds(50);

}  // namespace

/// Owns the controllers of a sidecar and runs them in a fixed order after each
/// event.
class SidecarCore::Impl {
 public:
  explicit Impl(const NodeSettings& settings) : settings_(settings) {}

  void Handle(const Now& now, Event event, Effects& effects) {
    now_ = now;
    effects_ = &effects;
    if (!member_) {
      CreateControllers();
    }
    std::visit([this](auto& body) { On(body); }, event);
    RunControllers();
    outbox_.Flush(runner_->load(), ToMicros(now.monotonic), effects);
    effects_ = nullptr;
  }

  Instant NextWakeup() const {
    if (!member_) {
      return Instant::min();
    }
    return std::min({next_round_at_, member_->NextWakeup(),
                     runner_->NextWakeup(now_.monotonic),
                     log_writer_->NextWakeup()});
  }

  uint64_t StateHash() const {
    Hasher hasher;
    if (member_) {
      hasher.Add(member_->Hash());
      hasher.Add(runner_->Hash());
      hasher.Add(stopping_);
    }
    return hasher.digest();
  }

  const wire::InstanceInfo* FindPeer(const InstanceName& name) const {
    const auto& instances = control().instances();
    const auto it = instances.find(name);
    return it == instances.end() ? nullptr : &it->second;
  }

  const ControlState& control() const {
    static const ControlState empty;
    return member_ ? member_->control() : empty;
  }

  CoreStatus Status(const Now& now) const;

 private:
  void CreateControllers();
  void RunControllers();
  void ContinueStop();

  void On(WakeupEvent&) {}
  void On(MessageEvent& event) {
    if (member_->AcceptSender(now_.monotonic, event.from)) {
      std::visit([&](auto& message) { OnMessage(event.from, message); },
                 event.message);
    }
  }
  void On(StopEvent& event);
  void On(UpstreamEvent& event) {
    runner_->OnUpstream(now_.monotonic, event, *effects_);
  }
  void On(ExecutionEndedEvent& event) {
    runner_->OnExecution(now_.monotonic, event, *effects_);
  }
  void On(AppendFailedEvent& event) {
    log_writer_->OnFailed(now_, event.change);
  }
  void On(LogReadEvent& event) { member_->OnLogRead(event, *effects_); }
  // Events that only entries handle.
  void On(SubmitEvent&) {}
  void On(QueryEvent&) {}
  void On(CallerGoneEvent&) {}
  void On(OperatorEvent&) {}
  void On(LogReadFailedEvent&) {}

  void OnMessage(const wire::Sender& from, wire::Probe& message) {
    last_probed_at_ = now_.monotonic;
    member_->OnProbe(now_.monotonic, from, message, *effects_);
    runner_->OnRenewal(from.name, message);
  }
  void OnMessage(const wire::Sender& from, wire::ProbeReply& message) {
    member_->OnProbeReply(now_.monotonic, from, message, *effects_);
  }
  void OnMessage(const wire::Sender& from, wire::RecordsRequest& message) {
    member_->OnRecordsRequest(from, message, *effects_);
  }
  void OnMessage(const wire::Sender&, wire::Records& message) {
    member_->OnRecords(message);
  }
  void OnMessage(const wire::Sender&, wire::Snapshot& message) {
    member_->OnSnapshot(message);
  }
  void OnMessage(const wire::Sender& from, wire::Offers& message) {
    runner_->OnOffers(now_.monotonic, from, message, *effects_);
  }
  void OnMessage(const wire::Sender& from, wire::Withdraw& message) {
    runner_->OnWithdraw(now_.monotonic, from, message, *effects_);
  }
  void OnMessage(const wire::Sender&, wire::Acknowledge& message) {
    runner_->OnAcknowledge(message);
  }
  void OnMessage(const wire::Sender& from, wire::CensusRequest& message) {
    runner_->OnCensus(now_.monotonic, from, message, *effects_);
  }
  // Messages that only entries handle.
  void OnMessage(const wire::Sender&, wire::TaskUpdates&) {}
  void OnMessage(const wire::Sender&, wire::CensusReply&) {}
  void OnMessage(const wire::Sender&, wire::ForwardJob&) {}
  void OnMessage(const wire::Sender&, wire::ForwardQuery&) {}
  void OnMessage(const wire::Sender&, wire::ForwardAnswer&) {}
  void OnMessage(const wire::Sender&, wire::Handover&) {}
  void OnMessage(const wire::Sender&, wire::HandoverDone&) {}

  NodeSettings settings_;
  Now now_;
  Effects* effects_ = nullptr;
  Outbox outbox_;
  std::unique_ptr<Member> member_;
  std::unique_ptr<TaskRunner> runner_;
  std::unique_ptr<ControlLogWriter> log_writer_;
  Instant next_round_at_ = Instant::min();
  bool stopping_ = false;
  bool stopped_ = false;
  Instant stop_deadline_ = Instant::max();
  /// When the last probe arrived.
  Instant last_probed_at_ = Instant::min();
  /// When all work was done and the LeaveInstance record was first appended.
  std::optional<Instant> leave_appended_at_;
};

void SidecarCore::Impl::CreateControllers() {
  MemberHooks hooks;
  hooks.applied = [this](wire::LogOffset offset,
                         const wire::ControlRecord& record,
                         const ApplyResult& result) {
    effects_->push_back(MakeAudit(offset, record, result));
    log_writer_->OnApplied(record.change);
  };
  hooks.state_installed = [] {};
  hooks.replaced = [](const InstanceName&) {};
  hooks.epoch_raised = [] {};
  hooks.load = [](const InstanceName&, const wire::Load&) {};
  hooks.own_load = [this] { return runner_->load(); };
  member_ =
      std::make_unique<Member>(settings_, std::move(hooks), now_.monotonic);
  runner_ = std::make_unique<TaskRunner>(*member_, outbox_);
  log_writer_ = std::make_unique<ControlLogWriter>(*member_);
}

void SidecarCore::Impl::RunControllers() {
  const Instant at = now_.monotonic;
  if (at >= member_->NextWakeup()) {
    member_->Tick(at, *effects_);
  }
  if (at >= next_round_at_) {
    next_round_at_ = at + kControllerInterval;
    if (!stopping_) {
      log_writer_->JoinIfMissing(now_, *effects_);
    }
  }
  log_writer_->Tick(now_, *effects_);
  runner_->Tick(at, *effects_);
  if (stopping_) {
    ContinueStop();
  }
}

void SidecarCore::Impl::On(StopEvent& event) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stop_deadline_ = now_.monotonic + event.deadline;
  runner_->Stop(now_.monotonic, *effects_);
}

void SidecarCore::Impl::ContinueStop() {
  if (stopped_) {
    return;
  }
  if (now_.monotonic >= stop_deadline_) {
    stopped_ = true;
    effects_->push_back(StoppedEffect{false});
    return;
  }
  if (!runner_->idle()) {
    return;
  }
  // Entries that have applied the LeaveInstance record no longer send anything
  // to this sidecar, not even that record. Their silence therefore confirms it.
  const Duration silence = 2 * settings_.timing.evidence_age;
  const bool entries_silent = leave_appended_at_ &&
                              now_.monotonic - *leave_appended_at_ >= silence &&
                              last_probed_at_ + silence <= now_.monotonic;
  const wire::InstanceInfo* own = FindPeer(settings_.info.name);
  if (entries_silent || own == nullptr ||
      own->incarnation != settings_.info.incarnation) {
    stopped_ = true;
    effects_->push_back(StoppedEffect{true});
    return;
  }
  leave_appended_at_ = leave_appended_at_.value_or(now_.monotonic);
  const ChangeId change(fmt::format("leave/{}/{:016x}",
                                    settings_.info.name.value(),
                                    settings_.info.incarnation));
  log_writer_->Append(
      now_, change,
      wire::LeaveInstance{settings_.info.name, settings_.info.incarnation},
      *effects_);
}

CoreStatus SidecarCore::Impl::Status(const Now& now) const {
  CoreStatus status;
  status.info = settings_.info;
  if (!member_) {
    return status;
  }
  const RegionState* region = member_->replica().region();
  status.offset = control().offset();
  status.bundle_version = control().bundle_version();
  status.generation = region == nullptr ? 0 : region->generation;
  status.stopping = stopping_;
  status.ready = member_->is_voter() && !stopping_ && runner_->load().slots > 0;
  status.jobs_running = runner_->load().running;
  status.tasks_waiting = runner_->load().queued;
  for (const auto& [name, view] : member_->views()) {
    PeerStatus peer;
    peer.info = control().instances().at(name);
    peer.offset = view.offset;
    if (view.heard_at != Instant::min()) {
      peer.age = now.monotonic - view.heard_at;
    }
    peer.is_voter = view.is_voter;
    status.peers.push_back(std::move(peer));
  }
  return status;
}

SidecarCore::SidecarCore(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
SidecarCore::~SidecarCore() = default;

absl::StatusOr<std::unique_ptr<SidecarCore>> SidecarCore::Create(
    const NodeSettings& settings) {
  if (settings.info.role != wire::Role::kSidecar ||
      settings.info.name.empty()) {
    return absl::InvalidArgumentError(
        "settings must have the sidecar role and an instance name");
  }
  auto impl = std::make_unique<Impl>(settings);
  return std::unique_ptr<SidecarCore>(new SidecarCore(std::move(impl)));
}

void SidecarCore::Handle(const Now& now, Event event, Effects& effects) {
  impl_->Handle(now, std::move(event), effects);
}

Instant SidecarCore::NextWakeup() const {
  return impl_->NextWakeup();
}

uint64_t SidecarCore::StateHash() const {
  return impl_->StateHash();
}

const wire::InstanceInfo* SidecarCore::FindPeer(
    const InstanceName& name) const {
  return impl_->FindPeer(name);
}

CoreStatus SidecarCore::Status(const Now& now) const {
  return impl_->Status(now);
}

const ControlState& SidecarCore::control() const {
  return impl_->control();
}

}  // namespace filbertwick::core

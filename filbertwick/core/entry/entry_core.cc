#include "filbertwick/core/entry/entry_core.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <utility>

#include "filbertwick/base/hash.h"
#include "filbertwick/core/entry/entry_context.h"
#include "filbertwick/core/entry/handover.h"
#include "filbertwick/core/entry/job_intake.h"
#include "filbertwick/core/entry/job_runner.h"
#include "filbertwick/core/entry/membership_controller.h"
#include "filbertwick/core/entry/request_router.h"
#include "filbertwick/core/entry/upstream_sync.h"
#include "filbertwick/core/entry/zone_out_tracker.h"
#include "filbertwick/core/outbox.h"
#include "filbertwick/core/policy/dispatcher.h"
#include "filbertwick/core/state/audit.h"
#include "filbertwick/core/state/control_log_writer.h"
#include "filbertwick/core/state/member.h"
#include "filbertwick/core/state/ownership.h"

namespace filbertwick::core {
namespace {

/// Longest time between two runs of the controllers that do not run at every
/// event.
constexpr Duration kControllerInterval = std::chrono::milliseconds(25);
/// Shortest delay until the next wakeup unless the controllers are due at once.
constexpr Duration kMinWakeupDelay = std::chrono::milliseconds(1);

/// Shortest time from the stop request until the entry stops. The load balancer
/// still sends callers here until it notices that the entry is not ready; their
/// jobs are forwarded meanwhile.
constexpr Duration kMinStopDuration = std::chrono::milliseconds(500);

}  // namespace

/// Owns the controllers of an entry and runs them in a fixed order.
class EntryCore::Impl {
 public:
  Impl(const NodeSettings& settings, const policy::PolicySettings& policy)
      : settings_(settings),
        dispatcher_(policy::Dispatcher::Create(policy, settings.seed)),
        jobs_(JobTableSettings()) {}

  void Handle(const Now& now, Event event, Effects& effects) {
    now_ = now;
    effects_ = &effects;
    if (!member_) {
      CreateControllers();
    }
    std::visit([this](auto& body) { On(body); }, event);
    RunControllers();
    runner_->OfferWaitingTasks(now_.monotonic);
    outbox_.Flush({}, 0, effects);
    effects_ = nullptr;
  }

  Instant NextWakeup() const {
    if (!member_ || controllers_due_) {
      return Instant::min();
    }
    const Instant next =
        std::min({next_round_at_, member_->NextWakeup(), runner_->NextWakeup(),
                  router_->NextWakeup(), intake_->NextWakeup(),
                  log_writer_->NextWakeup(), handover_->NextWakeup(),
                  dispatcher_->NextWakeup(now_.monotonic)});
    // Otherwise, work that is due but blocked, such as by missing quorum
    // evidence, would wake the entry in a busy loop.
    return std::max(next, now_.monotonic + kMinWakeupDelay);
  }

  uint64_t StateHash() const;
  CoreStatus Status(const Now& now) const;

  const wire::InstanceInfo* FindPeer(const InstanceName& name) const {
    const auto& instances = control().instances();
    const auto it = instances.find(name);
    return it == instances.end() ? nullptr : &it->second;
  }

  const ControlState& control() const {
    static const ControlState empty;
    return member_ ? member_->control() : empty;
  }

 private:
  void CreateControllers();
  void RunControllers();
  void ContinueStop();
  void RecordEjections();
  void OnApplied(wire::LogOffset offset,
                 const wire::ControlRecord& record,
                 const ApplyResult& result);
  void OnShardLost(wire::ShardId shard);
  void RecordTakenShards(std::span<const wire::ShardEpoch> shards);

  void On(WakeupEvent&) {}
  void On(MessageEvent& event);
  void On(SubmitEvent& event);
  void On(QueryEvent& event) { router_->Query(now_, event, *effects_); }
  void On(CallerGoneEvent& event) { router_->OnCallerGone(event.request); }
  void On(OperatorEvent& event);
  void On(LogReadEvent& event);
  void On(LogReadFailedEvent&) {}
  void On(AppendFailedEvent& event) {
    log_writer_->OnFailed(now_, event.change);
  }
  void On(StopEvent& event);
  void On(UpstreamEvent&) {}
  void On(ExecutionEndedEvent&) {}

  void OnMessage(const wire::Sender& from, wire::Probe& message) {
    member_->OnProbe(now_.monotonic, from, message, *effects_);
  }
  void OnMessage(const wire::Sender& from, wire::ProbeReply& message) {
    member_->OnProbeReply(now_.monotonic, from, message, *effects_);
    controllers_due_ |= ownership_->AwaitsQuorum();
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
  void OnMessage(const wire::Sender& from, wire::TaskUpdates& message) {
    member_->RecordLoad(from.name, message.token, message.load);
    runner_->OnUpdates(now_.monotonic, from.name, message.updates);
  }
  void OnMessage(const wire::Sender& from, wire::CensusReply& message) {
    intake_->OnCensusReply(now_, from, message);
  }
  void OnMessage(const wire::Sender& from, wire::ForwardJob& message) {
    router_->OnForwardJob(now_, from, std::move(message), *effects_);
  }
  void OnMessage(const wire::Sender& from, wire::ForwardQuery& message) {
    router_->OnForwardQuery(now_, from, message, *effects_);
  }
  void OnMessage(const wire::Sender& from, wire::ForwardAnswer& message) {
    router_->OnForwardAnswer(now_, from, message, *effects_);
  }
  void OnMessage(const wire::Sender& from, wire::Handover& message) {
    const auto taken = handover_->OnHandover(now_, from, message, *effects_);
    RecordTakenShards(taken);
    controllers_due_ = true;
  }
  void OnMessage(const wire::Sender& from, wire::HandoverDone& message) {
    handover_->OnHandoverDone(from, message);
  }
  // Messages that only sidecars handle.
  void OnMessage(const wire::Sender&, wire::Offers&) {}
  void OnMessage(const wire::Sender&, wire::Withdraw&) {}
  void OnMessage(const wire::Sender&, wire::Acknowledge&) {}
  void OnMessage(const wire::Sender&, wire::CensusRequest&) {}

  NodeSettings settings_;
  Now now_;
  Effects* effects_ = nullptr;
  std::unique_ptr<policy::Dispatcher> dispatcher_;
  JobTable jobs_;
  Outbox outbox_;
  std::unique_ptr<Member> member_;
  std::unique_ptr<Ownership> ownership_;
  std::unique_ptr<EntryContext> context_;
  std::unique_ptr<JobRunner> runner_;
  std::unique_ptr<JobIntake> intake_;
  std::unique_ptr<RequestRouter> router_;
  std::unique_ptr<HandoverController> handover_;
  std::unique_ptr<ControlLogWriter> log_writer_;
  std::unique_ptr<MembershipController> membership_controller_;
  std::unique_ptr<UpstreamSync> upstreams_;
  std::unique_ptr<ZoneOutTracker> zones_;
  /// Operator requests that wait until their change is applied.
  std::multimap<ChangeId, wire::RequestId> waiting_operators_;
  /// All controllers run at the next event without waiting for
  /// `next_round_at_`, and a wakeup is due at once.
  bool controllers_due_ = false;
  Instant next_round_at_ = Instant::min();
  /// How many TakeShards and UpstreamEjection records this incarnation has
  /// appended; part of their change ids, to make them unique.
  uint64_t takes_recorded_ = 0;
  uint64_t ejections_recorded_ = 0;
  bool stopping_ = false;
  bool stopped_ = false;
  /// When the entry stops even if requests are still open.
  Instant stop_deadline_ = Instant::max();
  /// Earliest time at which the entry stops.
  Instant earliest_stop_ = Instant::max();
};

void EntryCore::Impl::CreateControllers() {
  MemberHooks hooks;
  hooks.applied =
      [this](wire::LogOffset offset, const wire::ControlRecord& record,
             const ApplyResult& result) { OnApplied(offset, record, result); };
  hooks.state_installed = [this] {
    upstreams_->OnControlChanged(now_.monotonic);
    controllers_due_ = true;
  };
  hooks.replaced = [this](const InstanceName& name) {
    upstreams_->OnSidecarReplaced(now_.monotonic, name);
    runner_->OnSidecarLost(now_.monotonic, name);
    controllers_due_ = true;
  };
  hooks.epoch_raised = [this] {
    router_->RequestReroute();
    controllers_due_ = true;
  };
  hooks.load = [this](const InstanceName& name, const wire::Load& load) {
    upstreams_->OnLoad(now_.monotonic, name, load);
  };
  member_ =
      std::make_unique<Member>(settings_, std::move(hooks), now_.monotonic);
  OwnershipHooks ownership_hooks;
  ownership_hooks.gained = [this](std::span<const wire::ShardId> shards) {
    intake_->OnShardsGained(now_, shards);
    router_->RequestReroute();
  };
  ownership_hooks.lost = [this](wire::ShardId shard) { OnShardLost(shard); };
  ownership_hooks.taken = [this](std::span<const wire::ShardEpoch> shards) {
    RecordTakenShards(shards);
  };
  ownership_ =
      std::make_unique<Ownership>(*member_, std::move(ownership_hooks));
  context_ = std::make_unique<EntryContext>(EntryContext{
      *member_, *ownership_, *dispatcher_, jobs_, outbox_,
      [this](const Waiter& waiter, wire::ForwardAnswer answer) {
        router_->Deliver(now_, waiter, std::move(answer), *effects_);
      }});
  runner_ = std::make_unique<JobRunner>(*context_);
  intake_ = std::make_unique<JobIntake>(*context_, *runner_);
  router_ = std::make_unique<RequestRouter>(*context_, *intake_);
  handover_ =
      std::make_unique<HandoverController>(*context_, *intake_, *runner_);
  log_writer_ = std::make_unique<ControlLogWriter>(*member_);
  membership_controller_ =
      std::make_unique<MembershipController>(*member_, *log_writer_);
  upstreams_ = std::make_unique<UpstreamSync>(*member_, *dispatcher_);
  zones_ = std::make_unique<ZoneOutTracker>(*member_);
}

void EntryCore::Impl::RunControllers() {
  const Instant at = now_.monotonic;
  const bool round =
      std::exchange(controllers_due_, false) || at >= next_round_at_;
  if (at >= member_->NextWakeup()) {
    member_->Tick(at, *effects_);
  }
  if (round) {
    next_round_at_ = at + kControllerInterval;
    ownership_->Update(now_);
    membership_controller_->Tick(now_, *effects_);
    upstreams_->Tick(at);
    zones_->Tick(at);
    if (!stopping_) {
      log_writer_->JoinIfMissing(now_, *effects_);
    }
    RecordEjections();
    jobs_.Expire(at, context_->DedupeWindow());
  }
  log_writer_->Tick(now_, *effects_);
  handover_->Tick(now_, *effects_);
  router_->Tick(now_, *effects_);
  intake_->Tick(now_);
  runner_->Tick(at);
  if (stopping_) {
    ContinueStop();
  }
  // Send probes that the controllers made due without waiting for the next
  // event.
  if (member_->NextWakeup() <= at) {
    member_->Tick(at, *effects_);
  }
}

void EntryCore::Impl::RecordEjections() {
  for (policy::EjectionChange& ejection : dispatcher_->TakeEjections()) {
    const ChangeId change(
        fmt::format("ejection/{}/{:016x}/{}", settings_.info.name.value(),
                    settings_.info.incarnation, ejections_recorded_++));
    log_writer_->Append(
        now_, change,
        wire::UpstreamEjection{ejection.upstream, ejection.ejected,
                               std::move(ejection.why)},
        *effects_);
  }
}

void EntryCore::Impl::RecordTakenShards(
    std::span<const wire::ShardEpoch> shards) {
  if (shards.empty()) {
    return;
  }
  const ChangeId change(
      fmt::format("take/{}/{:016x}/{}", settings_.info.name.value(),
                  settings_.info.incarnation, takes_recorded_++));
  log_writer_->Append(
      now_, change,
      wire::TakeShards{settings_.info.region, {shards.begin(), shards.end()}},
      *effects_);
}

void EntryCore::Impl::OnApplied(wire::LogOffset offset,
                                const wire::ControlRecord& record,
                                const ApplyResult& result) {
  effects_->push_back(MakeAudit(offset, record, result));
  log_writer_->OnApplied(record.change);
  const auto [begin, end] = waiting_operators_.equal_range(record.change);
  for (auto it = begin; it != end; ++it) {
    effects_->push_back(
        OperatorAnswerEffect{it->second, result.accepted, offset, result.why});
  }
  waiting_operators_.erase(begin, end);
  upstreams_->OnControlChanged(now_.monotonic);
  if (std::holds_alternative<wire::TakeShards>(record.body) ||
      std::holds_alternative<wire::ResetRegion>(record.body)) {
    router_->RequestReroute();
  }
  if (const auto* leave = std::get_if<wire::LeaveInstance>(&record.body);
      leave != nullptr && result.accepted) {
    runner_->OnSidecarLost(now_.monotonic, leave->name);
  }
  controllers_due_ = true;
}

void EntryCore::Impl::OnShardLost(wire::ShardId shard) {
  for (const policy::JobHandle handle : jobs_.JobsInShard(shard)) {
    runner_->RedirectAndDrop(*jobs_.Find(handle));
  }
  router_->RequestReroute();
}

void EntryCore::Impl::On(MessageEvent& event) {
  if (!member_->AcceptSender(now_.monotonic, event.from)) {
    return;
  }
  std::visit([&](auto& message) { OnMessage(event.from, message); },
             event.message);
}

void EntryCore::Impl::On(SubmitEvent& event) {
  if (stopping_ && !handover_->HasSuccessor(now_.monotonic)) {
    wire::JobAnswer refusal;
    refusal.id = event.spec.id;
    refusal.reason = wire::Reason::kStopping;
    refusal.retry_after = std::chrono::seconds(1);
    effects_->push_back(AnswerEffect{event.request, refusal, {}});
    return;
  }
  router_->Submit(now_, std::move(event), *effects_);
}

void EntryCore::Impl::On(OperatorEvent& event) {
  // A retry of a change that was already applied gets the same result.
  const ChangeId change = event.record.change;
  if (const ApplyResult* result = member_->control().FindResult(change)) {
    effects_->push_back(OperatorAnswerEffect{event.request, result->accepted,
                                             member_->control().offset(),
                                             result->why});
    return;
  }
  waiting_operators_.emplace(change, event.request);
  log_writer_->Append(now_, std::move(event.record), *effects_);
}

void EntryCore::Impl::On(LogReadEvent& event) {
  member_->OnLogRead(event, *effects_);
  membership_controller_->OnLogRead(now_.monotonic,
                                    member_->control().offset() >= event.head);
}

void EntryCore::Impl::On(StopEvent& event) {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stop_deadline_ = now_.monotonic + event.deadline;
  earliest_stop_ =
      now_.monotonic + std::min(kMinStopDuration, event.deadline / 2);
  ownership_->DisableTakeover();
  handover_->HandOverAll();
  member_->AnnounceStop();
  controllers_due_ = true;
}

void EntryCore::Impl::ContinueStop() {
  if (stopped_) {
    return;
  }
  const bool overdue = now_.monotonic >= stop_deadline_;
  const bool no_successor = !handover_->HasSuccessor(now_.monotonic);
  const bool handed_over = no_successor || ownership_->HeldShards().empty();
  const bool drained = handed_over && now_.monotonic >= earliest_stop_ &&
                       handover_->idle() && router_->open_count() == 0 &&
                       jobs_.running() == 0;
  if (overdue) {
    router_->CloseAllUnanswered(*effects_);
    stopped_ = true;
    effects_->push_back(StoppedEffect{false});
    return;
  }
  if (!drained) {
    return;
  }
  // Leaving the membership is the last step: once the record is applied, the
  // entry has stopped.
  const wire::InstanceInfo* own = FindPeer(settings_.info.name);
  if (own == nullptr || own->incarnation != settings_.info.incarnation) {
    stopped_ = true;
    effects_->push_back(StoppedEffect{true});
    return;
  }
  const ChangeId change(fmt::format("leave/{}/{:016x}",
                                    settings_.info.name.value(),
                                    settings_.info.incarnation));
  log_writer_->Append(
      now_, change,
      wire::LeaveInstance{settings_.info.name, settings_.info.incarnation},
      *effects_);
}

uint64_t EntryCore::Impl::StateHash() const {
  if (!member_) {
    return 0;
  }
  Hasher hasher;
  hasher.Add(member_->Hash());
  hasher.Add(ownership_->Hash());
  hasher.Add(jobs_.Hash());
  hasher.Add(dispatcher_->StateHash());
  hasher.Add(router_->open_count());
  hasher.Add(stopping_);
  return hasher.digest();
}

CoreStatus EntryCore::Impl::Status(const Now& now) const {
  CoreStatus status;
  status.info = settings_.info;
  if (!member_) {
    return status;
  }
  const ControlState& state = member_->control();
  const RegionState* region = member_->replica().region();
  const bool evidence = member_->HasQuorumEvidence(now.monotonic);
  status.offset = state.offset();
  status.bundle_version = state.bundle_version();
  status.generation = region == nullptr ? 0 : region->generation;
  if (evidence) {
    const Instant until = member_->QuorumEvidenceUntil();
    const Duration left = until == Instant::max()
                              ? settings_.timing.evidence_age
                              : until - now.monotonic;
    status.evidence_age = settings_.timing.evidence_age - left;
  }
  // An entry that holds shards but serves none yet (see Ownership) would only
  // delay callers.
  const bool serves =
      ownership_->HeldShards().empty() || ownership_->serving() > 0;
  status.ready = evidence && serves && !stopping_ && state.bundle() != nullptr;
  status.stopping = stopping_;
  status.shards_owned = static_cast<uint32_t>(ownership_->HeldShards().size());
  status.shards_serving = ownership_->serving();
  status.jobs_running = jobs_.running();
  status.tasks_waiting = dispatcher_->waiting();
  for (const auto& [name, view] : member_->views()) {
    PeerStatus peer;
    peer.info = state.instances().at(name);
    peer.offset = view.offset;
    if (view.heard_at != Instant::min()) {
      peer.age = now.monotonic - view.heard_at;
    }
    peer.is_voter = view.is_voter;
    peer.load = view.load;
    peer.ejected = dispatcher_->IsEjected(name);
    status.peers.push_back(std::move(peer));
  }
  status.zones = zones_->Status(now.monotonic);
  return status;
}

EntryCore::EntryCore(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
EntryCore::~EntryCore() = default;

absl::StatusOr<std::unique_ptr<EntryCore>> EntryCore::Create(
    const NodeSettings& settings,
    const policy::PolicySettings& policy) {
  if (settings.info.role != wire::Role::kEntry || settings.info.name.empty()) {
    return absl::InvalidArgumentError(
        "settings must have the entry role and an instance name");
  }
  auto impl = std::make_unique<Impl>(settings, policy);
  return std::unique_ptr<EntryCore>(new EntryCore(std::move(impl)));
}

void EntryCore::Handle(const Now& now, Event event, Effects& effects) {
  impl_->Handle(now, std::move(event), effects);
}

Instant EntryCore::NextWakeup() const {
  return impl_->NextWakeup();
}

uint64_t EntryCore::StateHash() const {
  return impl_->StateHash();
}

const wire::InstanceInfo* EntryCore::FindPeer(const InstanceName& name) const {
  return impl_->FindPeer(name);
}

CoreStatus EntryCore::Status(const Now& now) const {
  return impl_->Status(now);
}

const ControlState& EntryCore::control() const {
  return impl_->control();
}

}  // namespace filbertwick::core

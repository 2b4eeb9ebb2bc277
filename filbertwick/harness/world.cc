#include "filbertwick/harness/world.h"

#include <absl/status/status.h>
#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

#include "filbertwick/base/hash.h"
#include "filbertwick/harness/effect_hash.h"
#include "filbertwick/harness/process_clock.h"
#include "filbertwick/harness/trace.h"
#include "filbertwick/wire/codec.h"

namespace filbertwick::harness {
namespace {

/// Largest reading of a monotonic clock at the start of its process.
constexpr Duration kMaxClockOrigin = std::chrono::hours(1'000);
/// Delay until an executor announces itself to a newly started sidecar.
constexpr Duration kMinAnnounceDelay = std::chrono::milliseconds(5);
constexpr Duration kMaxAnnounceDelay = std::chrono::milliseconds(50);
/// Delay until a sidecar detects that its executor died.
constexpr Duration kDeathDetectionDelay = std::chrono::milliseconds(100);
/// Bounds of a task's run time when WorldSettings::run_time is empty.
constexpr Duration kMinRunTime = std::chrono::milliseconds(50);
constexpr Duration kMaxRunTime = std::chrono::milliseconds(1'000);

}  // namespace

class World::Impl {
 public:
  explicit Impl(WorldSettings settings);

  /// One instance and the state of its current process.
  struct Process {
    wire::InstanceInfo info;
    std::unique_ptr<core::Core> core;
    std::unique_ptr<Executor> executor;
    bool leaving = false;
    /// A graceful stop is in progress.
    bool stopping = false;
    /// Start the instance again once the graceful stop ends, as a supervisor
    /// does.
    bool start_after_stop = false;
    ProcessClock clock;
    /// Changes at each start and kill, so that callbacks scheduled for an
    /// earlier process can detect that it is gone.
    uint64_t lifetime_id = 0;
    bool paused = false;
    /// Handle the next event although the process is paused, and hold back its
    /// effects.
    bool hold_next_effects = false;
    bool holding_effects = false;
    core::Effects held_effects;
    std::deque<core::Event> inbox;
    Duration wakeup = Duration::max();
    MessageCounts counts;
  };

  struct Request {
    Process* process = nullptr;
    /// The process that received the request; 0 before its arrival.
    uint64_t lifetime_id = 0;
    /// The sender still waits on its connection.
    bool open = true;
    bool answered = false;
    AnswerHook answer;
    OperatorHook operator_answer;
  };

  void Start(Process& process);
  void Kill(Process& process);
  void Pause(Process& process, bool mid_step);
  void Resume(Process& process);
  /// Tells a sidecar after `delay` the slots of its executor and whether the
  /// executor is leaving.
  void ScheduleAnnouncement(Process& process, Duration delay);
  /// Hands an event to a process; queues it while the process is paused and
  /// drops it while none runs. Wakeups are not queued: Resume() schedules one.
  void Deliver(Process& process, core::Event event);
  wire::RequestId SendRequest(Process& process,
                              Request request,
                              core::Event event);
  /// Closes a caller's connection and tells the entry with a CallerGoneEvent.
  void AbandonRequest(wire::RequestId id);

  Process& Find(const InstanceName& name) {
    const auto it = processes.find(name);
    assert(it != processes.end());
    return it->second;
  }

  WorldSettings settings;
  EventLoop loop;
  Random random;
  Network network;
  ControlLog log;
  std::map<InstanceName, Process> processes;
  /// Index of `processes` for the delivery of messages.
  std::unordered_map<InstanceName, Process*> processes_by_name;
  std::map<wire::RequestId, Request> requests;
  wire::RequestId last_request_id = 0;
  WorldHooks hooks;
  Hasher hasher;
  uint64_t events = 0;

 private:
  void MakeExecutor(Process& process);
  void HandleEvent(Process& process, core::Event event);
  void ApplyEffects(Process& process, core::Effects effects);
  void ScheduleWakeup(Process& process);
  /// Runs `reply` after the latency between an entry and its callers.
  void ScheduleReply(std::function<void()> reply);
  /// Breaks the connection of an open request and tells its sender.
  void FailRequest(Request& request);
  /// Closes a request that a process answers. Returns null if its sender has
  /// closed the connection, and also if this process did not receive the
  /// request or has answered it before, which is reported as a stray answer.
  Request* FinishRequest(Process& process, wire::RequestId id);
  void Trace(const Process& process, const char* mark, const std::string& text);

  void ApplyEffect(Process& process, core::SendEffect& effect);
  void ApplyEffect(Process& process, core::AppendEffect& effect);
  void ApplyEffect(Process& process, core::AnswerEffect& effect);
  void ApplyEffect(Process& process, core::OperatorAnswerEffect& effect);
  void ApplyEffect(Process& process, core::StartExecutionEffect& effect);
  void ApplyEffect(Process& process, core::StopExecutionEffect& effect);
  void ApplyEffect(Process& process, core::AuditEffect& effect);
  void ApplyEffect(Process& process, core::LogEffect& effect);
  void ApplyEffect(Process& process, core::StoppedEffect& effect);
};

World::Impl::Impl(WorldSettings world_settings)
    : settings(std::move(world_settings)),
      random(settings.seed),
      network(
          loop,
          random.Next(),
          [this](const InstanceName& from, const InstanceName& to) {
            return settings.deployment.Latency(from, to);
          },
          settings.jitter),
      log(loop,
          random.Next(),
          settings.log,
          [this](const InstanceName& name, core::Event event) {
            Deliver(Find(name), std::move(event));
          }) {
  for (const wire::InstanceInfo& info : settings.deployment.instances) {
    Process& process = processes[info.name];
    process.info = info;
    processes_by_name[info.name] = &process;
    if (info.role == wire::Role::kSidecar) {
      MakeExecutor(process);
    }
  }
}

void World::Impl::MakeExecutor(Process& process) {
  ExecutorHooks executor_hooks;
  executor_hooks.run_time = [this](const core::StartExecutionEffect& start) {
    return settings.run_time ? settings.run_time(start)
                             : random.Between(kMinRunTime, kMaxRunTime);
  };
  executor_hooks.started = [this,
                            &process](const core::StartExecutionEffect& start) {
    if (hooks.started) {
      hooks.started(process.info.name, start);
    }
  };
  executor_hooks.ended = [this,
                          &process](const core::ExecutionEndedEvent& event) {
    if (hooks.ended) {
      hooks.ended(process.info.name, event);
    }
  };
  executor_hooks.report = [this,
                           &process](const core::ExecutionEndedEvent& event) {
    Deliver(process, event);
  };
  process.executor = std::make_unique<Executor>(loop, settings.deployment.slots,
                                                std::move(executor_hooks));
}

void World::Impl::Start(Process& process) {
  if (process.core) {
    process.start_after_stop = process.stopping;
    return;
  }
  ++process.lifetime_id;
  const auto ppm = static_cast<int64_t>(settings.clock_rate_ppm);
  const Duration skew = settings.wall_clock_skew;
  process.clock = ProcessClock(
      loop.now(), random.Between(Duration(1), kMaxClockOrigin),
      static_cast<int64_t>(random.Below(2 * settings.clock_rate_ppm + 1)) - ppm,
      random.Between(-skew, skew));
  // Each process gets a new incarnation and a seed of its own. The incarnation
  // is never 0.
  core::NodeSettings node;
  node.info = process.info;
  node.info.incarnation = random.Next() | 1;
  node.timing = settings.timing;
  node.rules = settings.rules;
  node.seed = random.Next();
  process.info.incarnation = node.info.incarnation;
  process.core = settings.make_core(node);
  assert(process.core);
  Trace(process, "**", "start");
  if (process.info.role == wire::Role::kEntry) {
    log.AddReader(process.info.name);
  } else {
    ScheduleAnnouncement(process,
                         random.Between(kMinAnnounceDelay, kMaxAnnounceDelay));
  }
  Deliver(process, core::WakeupEvent());
}

void World::Impl::Kill(Process& process) {
  if (!process.core) {
    return;
  }
  Trace(process, "**", "gone");
  ++process.lifetime_id;
  process.core.reset();
  process.stopping = false;
  process.start_after_stop = false;
  process.paused = false;
  process.hold_next_effects = false;
  process.holding_effects = false;
  process.held_effects.clear();
  process.inbox.clear();
  process.wakeup = Duration::max();
  log.RemoveClient(process.info.name);
  if (process.executor) {
    process.executor->Disconnect();
  }
  // The open connections of callers and operators to this process break.
  // Requests with lifetime_id 0 have not arrived yet; they go to the process
  // that runs on arrival, or are refused.
  for (auto& [id, request] : requests) {
    if (request.process == &process && request.lifetime_id != 0) {
      FailRequest(request);
    }
  }
}

void World::Impl::Pause(Process& process, bool mid_step) {
  if (!process.core || process.paused) {
    return;
  }
  Trace(process, "**", mid_step ? "pause mid-step" : "pause");
  process.paused = true;
  process.hold_next_effects = mid_step;
  log.SetReaderPaused(process.info.name, true);
}

void World::Impl::Resume(Process& process) {
  if (!process.core || !process.paused) {
    return;
  }
  Trace(process, "**", "resume");
  process.paused = false;
  process.hold_next_effects = false;
  log.SetReaderPaused(process.info.name, false);
  const uint64_t lifetime_id = process.lifetime_id;
  ApplyEffects(process, std::exchange(process.held_effects, {}));
  // Handle the events queued during the pause in their order, then timers. An
  // event may end this process, so its lifetime is checked each time.
  auto inbox = std::exchange(process.inbox, {});
  for (core::Event& event : inbox) {
    if (process.core && process.lifetime_id == lifetime_id) {
      HandleEvent(process, std::move(event));
    }
  }
  if (process.core && process.lifetime_id == lifetime_id) {
    ScheduleWakeup(process);
  }
}

void World::Impl::ScheduleAnnouncement(Process& process, Duration delay) {
  loop.After(delay, [this, &process, lifetime_id = process.lifetime_id] {
    if (process.core && process.lifetime_id == lifetime_id) {
      Deliver(process,
              core::UpstreamEvent{process.executor->slots(), process.leaving});
    }
  });
}

void World::Impl::Deliver(Process& process, core::Event event) {
  if (!process.core) {
    return;
  }
  if (!process.paused) {
    HandleEvent(process, std::move(event));
    return;
  }
  // The process is paused between a decision and its send: the core handles
  // one more event and HandleEvent() holds back its effects.
  if (process.hold_next_effects) {
    process.hold_next_effects = false;
    process.holding_effects = true;
    HandleEvent(process, std::move(event));
    process.holding_effects = false;
    return;
  }
  if (!std::holds_alternative<core::WakeupEvent>(event)) {
    process.inbox.push_back(std::move(event));
  }
}

void World::Impl::HandleEvent(Process& process, core::Event event) {
  ++events;
  Trace(process, "<-", settings.trace ? Describe(event) : std::string());
  if (const auto* message = std::get_if<core::MessageEvent>(&event)) {
    const size_t kind = message->message.index();
    ++process.counts.received[kind];
    if (settings.count_bytes) {
      process.counts.received_bytes[kind] +=
          wire::EncodeMessage(message->message).size();
    }
  }
  core::Effects effects;
  process.core->Handle(process.clock.At(loop.now()), std::move(event), effects);
  if (process.holding_effects) {
    process.held_effects = std::move(effects);
    return;
  }
  const uint64_t lifetime_id = process.lifetime_id;
  ApplyEffects(process, std::move(effects));
  if (process.core && process.lifetime_id == lifetime_id) {
    ScheduleWakeup(process);
  }
}

void World::Impl::ApplyEffects(Process& process, core::Effects effects) {
  for (core::Effect& effect : effects) {
    hasher.Add(static_cast<uint64_t>(loop.now().count()));
    hasher.Add(process.info.incarnation);
    hasher.Add(effect.index());
    if (settings.hash_bytes) {
      AddEffect(effect, hasher);
    }
    Trace(process, "->", settings.trace ? Describe(effect) : std::string());
    std::visit([&](auto& it) { ApplyEffect(process, it); }, effect);
    if (!process.core) {
      return;
    }
  }
}

void World::Impl::ScheduleWakeup(Process& process) {
  const Duration when = std::max(
      process.clock.VirtualTimeOf(process.core->NextWakeup()), loop.now());
  if (process.paused || when == process.wakeup) {
    return;
  }
  process.wakeup = when;
  if (when == Duration::max()) {
    return;
  }
  loop.At(when, [this, &process, lifetime_id = process.lifetime_id, when] {
    if (process.lifetime_id == lifetime_id && process.wakeup == when) {
      process.wakeup = Duration::max();
      Deliver(process, core::WakeupEvent());
    }
  });
}

void World::Impl::Trace(const Process& process,
                        const char* mark,
                        const std::string& text) {
  if (settings.trace) {
    settings.trace(fmt::format("{:10.6f} {} {} {}",
                               static_cast<double>(loop.now().count()) / 1e6,
                               process.info.name.value(), mark, text));
  }
}

void World::Impl::ApplyEffect(Process& process, core::SendEffect& effect) {
  const size_t kind = effect.message.index();
  ++process.counts.sent[kind];
  if (settings.count_bytes) {
    process.counts.sent_bytes[kind] +=
        wire::EncodeMessage(effect.message).size();
  }
  const auto it = processes_by_name.find(effect.to);
  if (it == processes_by_name.end()) {
    return;
  }
  const auto message =
      std::make_shared<const wire::Message>(std::move(effect.message));
  const wire::Sender from{process.info.name, process.info.incarnation};
  network.Send(process.info.name, effect.to, *message,
               [this, to = it->second, from, message] {
                 Deliver(*to, core::MessageEvent{from, *message});
               });
}

void World::Impl::ApplyEffect(Process& process, core::AppendEffect& effect) {
  log.Append(process.info.name, std::move(effect.record));
}

World::Impl::Request* World::Impl::FinishRequest(Process& process,
                                                 wire::RequestId id) {
  const auto it = requests.find(id);
  const bool own = it != requests.end() && it->second.process == &process &&
                   it->second.lifetime_id == process.lifetime_id;
  if (!own || std::exchange(it->second.answered, true)) {
    if (hooks.stray_answer) {
      hooks.stray_answer(process.info.name, id);
    }
    return nullptr;
  }
  return std::exchange(it->second.open, false) ? &it->second : nullptr;
}

void World::Impl::ApplyEffect(Process& process, core::AnswerEffect& effect) {
  const Request* request = FinishRequest(process, effect.request);
  if (request && request->answer) {
    ScheduleReply([hook = request->answer, answer = std::move(effect)] {
      hook(&answer);
    });
  }
}

void World::Impl::ApplyEffect(Process& process,
                              core::OperatorAnswerEffect& effect) {
  const Request* request = FinishRequest(process, effect.request);
  if (request && request->operator_answer) {
    ScheduleReply([hook = request->operator_answer,
                   answer = std::move(effect)] { hook(&answer); });
  }
}

void World::Impl::ApplyEffect(Process& process,
                              core::StartExecutionEffect& effect) {
  process.executor->Start(effect);
}

void World::Impl::ApplyEffect(Process& process,
                              core::StopExecutionEffect& effect) {
  process.executor->Stop(effect.key, effect.attempt);
}

void World::Impl::ApplyEffect(Process& process, core::AuditEffect& effect) {
  if (hooks.audit) {
    hooks.audit(process.info.name, effect);
  }
}

void World::Impl::ApplyEffect(Process&, core::LogEffect&) {}

void World::Impl::ApplyEffect(Process& process, core::StoppedEffect& effect) {
  if (hooks.stopped) {
    hooks.stopped(process.info.name, effect.clean);
  }
  // The effects of the event that ended the stop are still being applied, so
  // the process is destroyed in a separate action.
  loop.After(Duration(0), [this, &process, lifetime_id = process.lifetime_id] {
    if (process.lifetime_id == lifetime_id) {
      const bool start = process.start_after_stop;
      Kill(process);
      if (start) {
        Start(process);
      }
    }
  });
}

void World::Impl::ScheduleReply(std::function<void()> reply) {
  loop.After(settings.deployment.caller_latency, std::move(reply));
}

void World::Impl::FailRequest(Request& request) {
  if (!std::exchange(request.open, false)) {
    return;
  }
  ScheduleReply([&request] {
    if (request.answer) {
      request.answer(nullptr);
    } else if (request.operator_answer) {
      request.operator_answer(nullptr);
    }
  });
}

wire::RequestId World::Impl::SendRequest(Process& process,
                                         Request request,
                                         core::Event event) {
  const wire::RequestId id = last_request_id;
  request.process = &process;
  auto& stored = requests[id] = std::move(request);
  loop.After(settings.deployment.caller_latency,
             [this, &process, &stored, event = std::move(event)] {
               if (process.core) {
                 stored.lifetime_id = process.lifetime_id;
                 Deliver(process, event);
                 return;
               }
               // The instance does not run: the connection is refused.
               FailRequest(stored);
             });
  return id;
}

void World::Impl::AbandonRequest(wire::RequestId id) {
  const auto it = requests.find(id);
  if (it == requests.end() || !std::exchange(it->second.open, false)) {
    return;
  }
  loop.After(settings.deployment.caller_latency,
             [this, id, process = it->second.process] {
               Deliver(*process, core::CallerGoneEvent{id});
             });
}

absl::StatusOr<std::unique_ptr<World>> World::Create(WorldSettings settings) {
  if (settings.deployment.instances.empty()) {
    return absl::InvalidArgumentError("the deployment has no instances");
  }
  if (!settings.make_core) {
    return absl::InvalidArgumentError("no core factory is set");
  }
  return std::unique_ptr<World>(
      new World(std::make_unique<Impl>(std::move(settings))));
}

World::World(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
World::~World() = default;

void World::SetHooks(WorldHooks hooks) {
  impl_->hooks = std::move(hooks);
}

void World::Start(const InstanceName& name) {
  impl_->Start(impl_->Find(name));
}

void World::StartAll(Duration spread) {
  for (auto& [name, process] : impl_->processes) {
    impl_->loop.After(impl_->random.Between(Duration(0), spread),
                      [this, &process] { impl_->Start(process); });
  }
}

void World::Kill(const InstanceName& name) {
  impl_->Kill(impl_->Find(name));
}

void World::Pause(const InstanceName& name, bool mid_step) {
  impl_->Pause(impl_->Find(name), mid_step);
}

void World::Resume(const InstanceName& name) {
  impl_->Resume(impl_->Find(name));
}

void World::Stop(const InstanceName& name, Duration deadline) {
  Impl::Process& process = impl_->Find(name);
  process.stopping = process.core != nullptr;
  impl_->Deliver(process, core::StopEvent{deadline});
}

void World::SetLeaving(const InstanceName& sidecar, bool leaving) {
  Impl::Process& process = impl_->Find(sidecar);
  process.leaving = leaving;
  impl_->ScheduleAnnouncement(process, kMinAnnounceDelay);
}

void World::SetExecutorMode(const InstanceName& sidecar, ExecutorMode mode) {
  Impl::Process& process = impl_->Find(sidecar);
  const uint32_t slots = process.executor->slots();
  process.executor->SetMode(mode);
  if (process.executor->slots() != slots) {
    impl_->ScheduleAnnouncement(
        process, slots > 0 ? kDeathDetectionDelay : kMinAnnounceDelay);
  }
}

wire::RequestId World::Submit(const InstanceName& entry,
                              const wire::JobSpec& spec,
                              AnswerHook hook) {
  const wire::RequestId id = ++impl_->last_request_id;
  Impl::Request request;
  request.answer = std::move(hook);
  return impl_->SendRequest(impl_->Find(entry), std::move(request),
                            core::SubmitEvent{id, spec});
}

wire::RequestId World::Query(const InstanceName& entry,
                             const JobId& job,
                             wire::JobQuery query,
                             AnswerHook hook) {
  const wire::RequestId id = ++impl_->last_request_id;
  Impl::Request request;
  request.answer = std::move(hook);
  return impl_->SendRequest(impl_->Find(entry), std::move(request),
                            core::QueryEvent{id, job, query});
}

void World::AbandonRequest(wire::RequestId request) {
  impl_->AbandonRequest(request);
}

wire::RequestId World::SubmitChange(const InstanceName& entry,
                                    const wire::ControlRecord& record,
                                    OperatorHook hook) {
  const wire::RequestId id = ++impl_->last_request_id;
  Impl::Request request;
  request.operator_answer = std::move(hook);
  return impl_->SendRequest(impl_->Find(entry), std::move(request),
                            core::OperatorEvent{id, record});
}

void World::Run(Duration span) {
  impl_->loop.RunUntil(impl_->loop.now() + span);
}

EventLoop& World::loop() {
  return impl_->loop;
}

Network& World::network() {
  return impl_->network;
}

ControlLog& World::log() {
  return impl_->log;
}

Executor& World::executor(const InstanceName& sidecar) {
  return *impl_->Find(sidecar).executor;
}

int64_t World::WallMillis() const {
  return ProcessClock().At(impl_->loop.now()).wall.unix_millis;
}

const WorldSettings& World::settings() const {
  return impl_->settings;
}

const core::Core* World::FindCore(const InstanceName& name) const {
  return impl_->Find(name).core.get();
}

bool World::IsPaused(const InstanceName& name) const {
  return impl_->Find(name).paused;
}

core::CoreStatus World::Status(const InstanceName& name) const {
  const Impl::Process& process = impl_->Find(name);
  return process.core
             ? process.core->Status(process.clock.At(impl_->loop.now()))
             : core::CoreStatus();
}

bool World::IsReady(const InstanceName& entry) const {
  const Impl::Process& process = impl_->Find(entry);
  return process.core && !process.paused &&
         process.core->Status(process.clock.At(impl_->loop.now())).ready;
}

const MessageCounts& World::Counts(const InstanceName& name) const {
  return impl_->Find(name).counts;
}

uint64_t World::hash() const {
  return impl_->hasher.digest();
}

uint64_t World::events() const {
  return impl_->events;
}

}  // namespace filbertwick::harness

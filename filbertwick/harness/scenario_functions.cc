#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

#include "filbertwick/core/state/control_state.h"
#include "filbertwick/core/state/rendezvous.h"
#include "filbertwick/harness/fault_trial.h"
#include "filbertwick/harness/scenario_arguments.h"
#include "filbertwick/harness/scenario_state.h"

namespace filbertwick::harness {
namespace {

/// Time for the entries to become ready after boot().
constexpr Duration kBootLimit = std::chrono::seconds(10);
/// Time between the healing of all faults and the check of recover().
constexpr Duration kSettleTime = std::chrono::seconds(3);
/// Time for the jobs of recover() to complete.
constexpr Duration kRecoveryLimit = std::chrono::seconds(20);
/// Default deadline of stop().
constexpr Duration kStopDeadline = std::chrono::seconds(5);
/// Job ids that IdOwnedBy() tries before it gives up.
constexpr int kMaxIdAttempts = 10'000;

/// Names of the message kinds in scripts, by index in wire::Message.
constexpr std::array<std::string_view, MessageCounts::kKinds> kMessageNames = {
    "Probe",        "ProbeReply",    "RecordsRequest", "Records",
    "Snapshot",     "Offers",        "TaskUpdates",    "Withdraw",
    "Settle",       "CensusRequest", "CensusReply",    "ForwardJob",
    "ForwardQuery", "ForwardAnswer", "Handover",       "HandoverDone"};

/// Builds the deployment that the table argument of deployment() describes:
/// a predefined one by `name`, or one of the given size.
Deployment ReadDeployment(lua_State* lua) {
  const std::string name = FieldText(lua, 1, "name", "");
  if (!name.empty()) {
    auto found = FindDeployment(name);
    if (!found.ok()) {
      luaL_error(lua, "there is no deployment %s", name.c_str());
    }
    return *found;
  }
  DeploymentSize size;
  size.zones = static_cast<uint32_t>(FieldNumber(lua, 1, "zones", 2));
  size.entries = static_cast<uint32_t>(FieldNumber(lua, 1, "entries", 3));
  size.sidecars = static_cast<uint32_t>(FieldNumber(lua, 1, "sidecars", 4));
  return MakeDeployment(size);
}

/// Returns false if a drop rule matches the message, and subtracts one from the
/// `remaining` of the first such rule.
bool ShouldDeliver(ScenarioState& state,
                   const InstanceName& from,
                   const InstanceName& to,
                   const wire::Message& message) {
  for (DropRule& rule : state.drop_rules) {
    const bool fits =
        rule.remaining > 0 && (rule.from.empty() || rule.from == from) &&
        (rule.to.empty() || rule.to == to) &&
        (rule.kind < 0 || rule.kind == static_cast<int>(message.index()));
    if (fits) {
      --rule.remaining;
      return false;
    }
  }
  return true;
}

/// deployment{name=, zones=, entries=, sidecars=, seed=, slots=, run_time=,
/// repeatable=, patience=, timeout=}
int CreateDeployment(lua_State* lua) {
  ScenarioState& state = State(lua);
  TestbedSettings& settings = state.testbed_settings;
  settings.world.deployment = ReadDeployment(lua);
  settings.world.deployment.repeatable = FieldBoolean(lua, 1, "repeatable");
  settings.world.deployment.slots = static_cast<uint32_t>(
      FieldNumber(lua, 1, "slots", settings.world.deployment.slots));
  settings.world.seed = static_cast<uint64_t>(FieldNumber(lua, 1, "seed", 1));
  settings.world.trace = state.settings->trace;
  settings.world.hash_bytes = true;
  settings.world.make_core =
      state.settings->make_cores
          ? state.settings->make_cores(settings.world.deployment)
          : MakeDaemonCoreFactory(settings.world.deployment);
  state.run_time = Millis(FieldNumber(lua, 1, "run_time", 200));
  settings.world.run_time = [&state](const core::StartExecutionEffect&) {
    return state.run_time;
  };
  // By default a caller waits 60 s for its answer and takes a refusal as final,
  // so that jobs are resubmitted only by the script.
  settings.callers.timeout_min = Millis(FieldNumber(lua, 1, "timeout", 60'000));
  settings.callers.timeout_max = settings.callers.timeout_min;
  settings.callers.refusal_retry_window =
      Millis(FieldNumber(lua, 1, "patience", 0));
  auto made = Testbed::Create(settings);
  if (!made.ok()) {
    return luaL_error(lua, "%s", std::string(made.status().message()).c_str());
  }
  state.testbed = std::move(*made);
  state.testbed->world().network().SetFilter(
      [&state](const InstanceName& from, const InstanceName& to,
               const wire::Message& message) {
        return ShouldDeliver(state, from, to, message);
      });
  return 0;
}

/// rule_off(name): disables a safety rule; only before deployment()
int RuleOff(lua_State* lua) {
  ScenarioState& state = State(lua);
  if (!DisableRule(luaL_checkstring(lua, 1), state.testbed_settings.world.rules)
           .ok()) {
    return luaL_error(lua, "there is no rule of this name");
  }
  return 0;
}

/// start(name): starts the process of an instance that is not running
int Start(lua_State* lua) {
  RequireTestbed(lua).world().Start(ArgInstance(lua, 1));
  return 0;
}

/// boot(): starts all instances and publishes the first bundle
int Boot(lua_State* lua) {
  if (!RequireTestbed(lua).Boot(kBootLimit)) {
    return luaL_error(lua, "the entries did not become ready");
  }
  return 0;
}

/// run(ms): advances virtual time
int Run(lua_State* lua) {
  RequireTestbed(lua).world().Run(Millis(luaL_checknumber(lua, 1)));
  return 0;
}

/// time() -> virtual time in ms
int Time(lua_State* lua) {
  PushMillis(lua, RequireTestbed(lua).world().loop().now());
  return 1;
}

/// submit{tasks=, entry=, id=, deadline=} -> job number
int Submit(lua_State* lua) {
  CallerJob job;
  job.tasks = static_cast<uint32_t>(FieldNumber(lua, 1, "tasks", 1));
  job.id = FieldText(lua, 1, "id", "");
  job.entry = InstanceName(FieldText(lua, 1, "entry", ""));
  job.deadline = Millis(FieldNumber(lua, 1, "deadline", 10'000));
  lua_pushinteger(
      lua, static_cast<lua_Integer>(RequireTestbed(lua).callers().Submit(job)));
  return 1;
}

/// resubmit(job, entry): sends the same request again
int Resubmit(lua_State* lua) {
  RequireTestbed(lua).callers().Resubmit(ArgJob(lua, 1), ArgInstance(lua, 2));
  return 0;
}

/// clash(job, entry): submits another body under the id of the job
int Clash(lua_State* lua) {
  RequireTestbed(lua).callers().Clash(ArgJob(lua, 1), ArgInstance(lua, 2));
  return 0;
}

/// cancel(job, entry): cancels the job through an entry
int Cancel(lua_State* lua) {
  RequireTestbed(lua).callers().Cancel(ArgJob(lua, 1), ArgInstance(lua, 2));
  return 0;
}

/// answer(job) -> table, or nil while there is no answer; `after` is the time
/// from submission to the answer in ms
int Answer(lua_State* lua) {
  const CallerResult& result =
      RequireTestbed(lua).callers().result(ArgJob(lua, 1));
  if (!result.answer) {
    lua_pushnil(lua);
    return 1;
  }
  lua_newtable(lua);
  SetField(lua, "outcome", std::string(wire::ToString(result.answer->outcome)));
  SetField(lua, "reason", std::string(wire::ToString(result.answer->reason)));
  SetFlag(lua, "not_run", result.answer->not_run);
  SetField(lua, "after", result.answered - result.submitted);
  lua_newtable(lua);
  lua_Integer n = 0;
  for (const wire::TaskResult& task : result.answer->tasks) {
    const auto text = wire::ToString(task.outcome);
    lua_pushlstring(lua, text.data(), text.size());
    lua_rawseti(lua, -2, ++n);
  }
  lua_setfield(lua, -2, "tasks");
  return 1;
}

/// starts(job [, index]) -> number of starts of the task; `index` counts from 0
int Starts(lua_State* lua) {
  const CallerResult& result =
      RequireTestbed(lua).callers().result(ArgJob(lua, 1));
  const auto index = static_cast<uint32_t>(luaL_optinteger(lua, 2, 0));
  lua_pushinteger(
      lua, RequireTestbed(lua).observer().StartsOf(result.spec.id, index));
  return 1;
}

/// starts_in(zone) -> number of starts in the zone so far, virtual time of the
/// last one in ms
int StartsIn(lua_State* lua) {
  const ZoneName zone(luaL_checkstring(lua, 1));
  lua_pushinteger(lua, static_cast<lua_Integer>(
                           RequireTestbed(lua).observer().StartsIn(zone)));
  PushMillis(lua, RequireTestbed(lua).observer().LastStartIn(zone));
  return 2;
}

core::ControlState ReplayLog(const ControlLog& log) {
  core::ControlState state;
  for (const wire::ControlRecord& record : log.records()) {
    state.Apply(record);
  }
  return state;
}

/// Returns the owner of the job's shard according to the control log, or an
/// empty text before the region has owners.
std::string OwnerOf(Testbed& bed, const JobId& id) {
  const core::ControlState control_state = ReplayLog(bed.world().log());
  const core::RegionState* region =
      control_state.FindRegion(bed.world().settings().deployment.region);
  if (!region || region->epochs.empty()) {
    return "";
  }
  return region->epochs[core::ShardOf(id)].owner.value();
}

/// owner(job) -> name of the entry that owns the job's shard according to the
/// control log
int Owner(lua_State* lua) {
  Testbed& bed = RequireTestbed(lua);
  const JobId id = bed.callers().result(ArgJob(lua, 1)).spec.id;
  lua_pushstring(lua, OwnerOf(bed, id).c_str());
  return 1;
}

/// id_owned_by(entry) -> new job id, created at the current time, whose shard
/// the entry owns
int IdOwnedBy(lua_State* lua) {
  Testbed& bed = RequireTestbed(lua);
  const InstanceName entry = ArgInstance(lua, 1);
  for (int n = 0; n < kMaxIdAttempts; ++n) {
    const std::string id = bed.callers().MakeId();
    if (OwnerOf(bed, JobId(id)) == entry.value()) {
      lua_pushstring(lua, id.c_str());
      return 1;
    }
  }
  return luaL_error(lua, "found no job id that this entry owns");
}

int Kill(lua_State* lua) {
  RequireTestbed(lua).Kill(ArgInstance(lua, 1));
  return 0;
}

int KillWorker(lua_State* lua) {
  RequireTestbed(lua).KillWorker(ArgInstance(lua, 1));
  return 0;
}

int Restart(lua_State* lua) {
  const InstanceName name = ArgInstance(lua, 1);
  RequireTestbed(lua).Kill(name);
  RequireTestbed(lua).world().Start(name);
  return 0;
}

/// pause(name [, "mid_step"]): pauses the process; with "mid_step" it
/// handles one more event, whose effects are held back until it resumes
int Pause(lua_State* lua) {
  const std::string_view how = luaL_optstring(lua, 2, "");
  RequireTestbed(lua).world().Pause(ArgInstance(lua, 1), how == "mid_step");
  return 0;
}

int Resume(lua_State* lua) {
  RequireTestbed(lua).world().Resume(ArgInstance(lua, 1));
  return 0;
}

/// stop(name [, deadline_ms]): requests a graceful stop of an instance
int Stop(lua_State* lua) {
  const Duration deadline = lua_isnoneornil(lua, 2)
                                ? kStopDeadline
                                : Millis(luaL_checknumber(lua, 2));
  RequireTestbed(lua).world().Stop(ArgInstance(lua, 1), deadline);
  return 0;
}

/// running(name) -> whether the process is running
int Running(lua_State* lua) {
  const bool is_running =
      RequireTestbed(lua).world().FindCore(ArgInstance(lua, 1)) != nullptr;
  lua_pushboolean(lua, is_running ? 1 : 0);
  return 1;
}

/// cut(from, to [, "hold"]): cuts the link in one direction; "*" stands for
/// every other instance. With "hold", messages of connections arrive once the
/// link is healed.
int Cut(lua_State* lua) {
  Testbed& bed = RequireTestbed(lua);
  const std::string from = luaL_checkstring(lua, 1);
  const std::string to = luaL_checkstring(lua, 2);
  const bool hold = std::string_view(luaL_optstring(lua, 3, "")) == "hold";
  if (to == "*") {
    bed.Isolate(ArgInstance(lua, 1), true, false, hold);
  } else if (from == "*") {
    bed.Isolate(ArgInstance(lua, 2), false, true, hold);
  } else {
    bed.world().network().Cut(ArgInstance(lua, 1), ArgInstance(lua, 2), hold);
  }
  return 0;
}

/// heal([from, to]): heals one direction of a link, or all links
int Heal(lua_State* lua) {
  if (lua_gettop(lua) == 0) {
    RequireTestbed(lua).world().network().HealAll();
  } else {
    RequireTestbed(lua).world().network().Heal(ArgInstance(lua, 1),
                                               ArgInstance(lua, 2));
  }
  return 0;
}

/// drop{from=, to=, kind=, count=}: loses the next `count` matching messages
int Drop(lua_State* lua) {
  DropRule rule;
  rule.from = InstanceName(FieldText(lua, 1, "from", ""));
  rule.to = InstanceName(FieldText(lua, 1, "to", ""));
  rule.remaining = static_cast<uint32_t>(FieldNumber(lua, 1, "count", 1));
  const std::string kind = FieldText(lua, 1, "kind", "");
  if (!kind.empty()) {
    const auto it = std::ranges::find(kMessageNames, kind);
    if (it == kMessageNames.end()) {
      return luaL_error(lua, "there is no message kind %s", kind.c_str());
    }
    rule.kind = static_cast<int>(it - kMessageNames.begin());
  }
  State(lua).drop_rules.push_back(std::move(rule));
  return 0;
}

/// disturb{loss=, duplication=, reordering=, late=}: sets the disturbance of
/// all links; without arguments ends it
int Disturb(lua_State* lua) {
  Disturbance link;
  link.loss = FieldNumber(lua, 1, "loss", 0);
  link.duplication = FieldNumber(lua, 1, "duplication", 0);
  link.reordering = FieldNumber(lua, 1, "reordering", 0);
  link.max_extra_delay = Millis(FieldNumber(lua, 1, "late", 0));
  RequireTestbed(lua).world().network().SetDisturbance(link);
  return 0;
}

/// log_down(flag): starts or ends an outage of the control log
int LogDown(lua_State* lua) {
  RequireTestbed(lua).world().log().SetDown(lua_toboolean(lua, 1) != 0);
  return 0;
}

/// log_slow(ms): adds up to `ms` to each append and read; 0 ends it
int LogSlow(lua_State* lua) {
  RequireTestbed(lua).world().log().SetMaxExtraDelay(
      Millis(luaL_checknumber(lua, 1)));
  return 0;
}

/// log_trim() -> offset of the oldest record kept; discards all records before
/// the newest checkpoint
int LogTrim(lua_State* lua) {
  RequireTestbed(lua).world().log().Trim();
  lua_pushinteger(
      lua, static_cast<lua_Integer>(RequireTestbed(lua).world().log().first()));
  return 1;
}

/// log_unreachable(name, flag): cuts one instance off from the control log
int LogUnreachable(lua_State* lua) {
  RequireTestbed(lua).world().log().SetUnreachable(ArgInstance(lua, 1),
                                                   lua_toboolean(lua, 2) != 0);
  return 0;
}

/// log_head() -> offset after the newest record, number of append requests
/// written
int LogHead(lua_State* lua) {
  const ControlLog& log = RequireTestbed(lua).world().log();
  lua_pushinteger(lua, static_cast<lua_Integer>(log.head()));
  lua_pushinteger(lua, static_cast<lua_Integer>(log.requests()));
  return 2;
}

/// lose_answer(n): writes the next `n` append requests but loses their answers
int LoseAnswer(lua_State* lua) {
  RequireTestbed(lua).world().log().LoseAnswers(
      static_cast<uint32_t>(luaL_checkinteger(lua, 1)));
  return 0;
}

/// zone_out(zone [, entry]) -> number of the change
int ZoneOut(lua_State* lua) {
  const ZoneName zone(luaL_checkstring(lua, 1));
  const size_t change = RequireTestbed(lua).operators().SetZone(
      zone, true, ArgOptionalInstance(lua, 2));
  lua_pushinteger(lua, static_cast<lua_Integer>(change));
  return 1;
}

/// zone_in(zone [, entry]) -> number of the change
int ZoneIn(lua_State* lua) {
  const ZoneName zone(luaL_checkstring(lua, 1));
  const size_t change = RequireTestbed(lua).operators().SetZone(
      zone, false, ArgOptionalInstance(lua, 2));
  lua_pushinteger(lua, static_cast<lua_Integer>(change));
  return 1;
}

/// publish{version=, based_on=, entry=, text=} -> number of the change
int Publish(lua_State* lua) {
  Testbed& bed = RequireTestbed(lua);
  const auto version = static_cast<uint64_t>(FieldNumber(lua, 1, "version", 2));
  const auto based_on = static_cast<uint64_t>(
      FieldNumber(lua, 1, "based_on", static_cast<lua_Number>(version) - 1));
  std::string text = FieldText(lua, 1, "text", "");
  if (text.empty()) {
    text = bed.world().settings().deployment.BundleText(version, based_on);
  }
  const size_t change = bed.operators().Publish(
      version, based_on, text, InstanceName(FieldText(lua, 1, "entry", "")));
  lua_pushinteger(lua, static_cast<lua_Integer>(change));
  return 1;
}

/// change(number) -> table; `answered` and `certain` are in ms after the
/// request and absent before
int Change(lua_State* lua) {
  Testbed& bed = RequireTestbed(lua);
  const auto number = static_cast<size_t>(luaL_checkinteger(lua, 1));
  if (number >= bed.operators().size()) {
    return luaL_error(lua, "there is no change with this number");
  }
  const ChangeResult& result = bed.operators().result(number);
  lua_newtable(lua);
  SetFlag(lua, "accepted", result.accepted);
  SetField(lua, "text", result.text);
  if (result.answered >= Duration(0)) {
    SetField(lua, "answered", result.answered - result.requested);
  }
  if (result.confirmed_out >= Duration(0)) {
    SetField(lua, "certain", result.confirmed_out - result.requested);
  }
  return 1;
}

/// leave(sidecar, flag): the upstream announces that it leaves or stays
int Leave(lua_State* lua) {
  RequireTestbed(lua).SetLeaving(ArgInstance(lua, 1),
                                 lua_toboolean(lua, 2) != 0);
  return 0;
}

/// executor(sidecar, "normal"|"fails"|"hangs"|"dead"): sets how the executor
/// beside a sidecar treats its tasks
int SetExecutor(lua_State* lua) {
  static constexpr std::array<const char*, 5> kModes = {
      "normal", "fails", "hangs", "dead", nullptr};
  const int mode = luaL_checkoption(lua, 2, nullptr, kModes.data());
  RequireTestbed(lua).world().SetExecutorMode(ArgInstance(lua, 1),
                                              static_cast<ExecutorMode>(mode));
  return 0;
}

/// run_time(ms): sets the run time of tasks that start from now on
int RunTime(lua_State* lua) {
  State(lua).run_time = Millis(luaL_checknumber(lua, 1));
  return 0;
}

/// status(name) -> table with the status of the instance's core
int Status(lua_State* lua) {
  const core::CoreStatus status =
      RequireTestbed(lua).world().Status(ArgInstance(lua, 1));
  lua_newtable(lua);
  SetNumber(lua, "offset", status.offset);
  SetNumber(lua, "bundle", status.bundle_version);
  SetNumber(lua, "generation", status.generation);
  SetNumber(lua, "owned", status.shards_owned);
  SetNumber(lua, "serving", status.shards_serving);
  SetNumber(lua, "jobs", status.jobs_running);
  SetNumber(lua, "waiting", status.tasks_waiting);
  SetFlag(lua, "ready", status.ready);
  SetFlag(lua, "evidence", status.evidence_age >= Duration(0));
  lua_newtable(lua);
  for (const core::ZoneStatus& zone : status.zones) {
    SetField(lua, zone.zone.value().c_str(),
             std::string(zone.certainly_out ? "certainly_out"
                         : zone.out         ? "out"
                                            : "in"));
  }
  lua_setfield(lua, -2, "zones");
  return 1;
}

/// expect(condition, text): records a failure unless the condition is true; the
/// script goes on
int Expect(lua_State* lua) {
  ScenarioState& state = State(lua);
  ++state.result.expectations;
  if (lua_toboolean(lua, 1) == 0) {
    state.result.failures.push_back(fmt::format(
        "{}expected: {}", ScriptLocation(lua), luaL_optstring(lua, 2, "")));
  }
  return 0;
}

/// expect_violation(name): the scenario, which disables a safety rule, must
/// violate this guarantee
int ExpectViolation(lua_State* lua) {
  ScenarioState& state = State(lua);
  ++state.result.expectations;
  state.expected_violations.insert(luaL_checkstring(lua, 1));
  return 0;
}

/// recover(): ends all faults and checks that new jobs complete
int Recover(lua_State* lua) {
  ++State(lua).result.expectations;
  State(lua).run_time = std::chrono::milliseconds(100);
  RequireTestbed(lua).Heal();
  RequireTestbed(lua).world().Run(kSettleTime);
  RequireTestbed(lua).CheckRecovery(kRecoveryLimit);
  return 0;
}

/// note(text): prints a text for a user who runs the scenario by hand
int Note(lua_State* lua) {
  const ScenarioState& state = State(lua);
  if (state.settings->print) {
    state.settings->print(luaL_tolstring(lua, 1, nullptr));
  }
  return 0;
}

struct NamedFunction {
  const char* name;
  lua_CFunction function;
};

constexpr std::array kFunctions = {
    NamedFunction{"deployment", CreateDeployment},
    NamedFunction{"rule_off", RuleOff},
    NamedFunction{"boot", Boot},
    NamedFunction{"run", Run},
    NamedFunction{"time", Time},
    NamedFunction{"submit", Submit},
    NamedFunction{"resubmit", Resubmit},
    NamedFunction{"clash", Clash},
    NamedFunction{"cancel", Cancel},
    NamedFunction{"answer", Answer},
    NamedFunction{"starts", Starts},
    NamedFunction{"starts_in", StartsIn},
    NamedFunction{"owner", Owner},
    NamedFunction{"id_owned_by", IdOwnedBy},
    NamedFunction{"start", Start},
    NamedFunction{"kill", Kill},
    NamedFunction{"kill_worker", KillWorker},
    NamedFunction{"restart", Restart},
    NamedFunction{"pause", Pause},
    NamedFunction{"resume", Resume},
    NamedFunction{"stop", Stop},
    NamedFunction{"running", Running},
    NamedFunction{"cut", Cut},
    NamedFunction{"heal", Heal},
    NamedFunction{"drop", Drop},
    NamedFunction{"disturb", Disturb},
    NamedFunction{"log_down", LogDown},
    NamedFunction{"log_slow", LogSlow},
    NamedFunction{"log_trim", LogTrim},
    NamedFunction{"log_unreachable", LogUnreachable},
    NamedFunction{"log_head", LogHead},
    NamedFunction{"lose_answer", LoseAnswer},
    NamedFunction{"zone_out", ZoneOut},
    NamedFunction{"zone_in", ZoneIn},
    NamedFunction{"publish", Publish},
    NamedFunction{"change", Change},
    NamedFunction{"leave", Leave},
    NamedFunction{"executor", SetExecutor},
    NamedFunction{"run_time", RunTime},
    NamedFunction{"status", Status},
    NamedFunction{"expect", Expect},
    NamedFunction{"expect_violation", ExpectViolation},
    NamedFunction{"recover", Recover},
    NamedFunction{"note", Note},
};

}  // namespace

std::string ScriptLocation(lua_State* lua) {
  luaL_where(lua, 1);
  std::string location = lua_tostring(lua, -1);
  lua_pop(lua, 1);
  return location;
}

void RegisterScenarioFunctions(lua_State* lua, ScenarioState& state) {
  for (const NamedFunction& it : kFunctions) {
    lua_pushlightuserdata(lua, &state);
    lua_pushcclosure(lua, it.function, 1);
    lua_setglobal(lua, it.name);
  }
}

}  // namespace filbertwick::harness

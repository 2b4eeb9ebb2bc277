#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "filbertwick/harness/process_clock.h"
#include "filbertwick/harness/testbed.h"

namespace {

using filbertwick::ChangeId;
using filbertwick::Duration;
using filbertwick::InstanceName;
using filbertwick::Instant;
using filbertwick::JobId;
using filbertwick::harness::MakeDeployment;
using filbertwick::harness::ProcessClock;
using filbertwick::harness::World;
using filbertwick::harness::WorldSettings;
namespace core = filbertwick::core;
namespace wire = filbertwick::wire;

constexpr Duration kMilli = std::chrono::milliseconds(1);
constexpr Duration kTickInterval = 100 * kMilli;

/// The events that the cores of one world handled, one line each.
struct RecordedEvents {
  std::vector<std::string> lines;

  size_t Count(const std::string& text) const {
    return static_cast<size_t>(std::ranges::count(lines, text));
  }
};

/// A minimal core. It sends a probe to entry-2 every 100 ms, appends a record
/// for each submitted job and answers the job at once. After a StopEvent it
/// stops when the deadline has passed.
class FakeCore : public core::Core {
 public:
  FakeCore(const core::NodeSettings& settings, RecordedEvents& recorded)
      : settings_(settings), recorded_(recorded) {}

  void Handle(const core::Now& now,
              core::Event event,
              core::Effects& effects) override {
    const std::string& name = settings_.info.name.value();
    if (std::holds_alternative<core::WakeupEvent>(event)) {
      next_wakeup_ = now.monotonic + kTickInterval;
      wire::Probe probe;
      probe.sent = filbertwick::ToMicros(now.monotonic);
      effects.push_back(
          core::SendEffect{InstanceName("entry-2"), std::move(probe)});
    } else if (const auto* submit = std::get_if<core::SubmitEvent>(&event)) {
      wire::ControlRecord record;
      record.change = ChangeId(submit->spec.id.value());
      record.body = wire::SetZone{};
      effects.push_back(core::AppendEffect{record});
      core::AnswerEffect answer;
      answer.request = submit->request;
      answer.answer.id = submit->spec.id;
      effects.push_back(std::move(answer));
      recorded_.lines.push_back(name + " submit");
    } else if (std::holds_alternative<core::MessageEvent>(event)) {
      recorded_.lines.push_back(name + " message");
    } else if (const auto* read = std::get_if<core::LogReadEvent>(&event)) {
      for (const wire::ControlRecord& record : read->records) {
        recorded_.lines.push_back(name + " read " + record.change.value());
      }
    } else if (std::holds_alternative<core::LogReadFailedEvent>(event)) {
      recorded_.lines.push_back(name + " down");
    } else if (std::holds_alternative<core::AppendFailedEvent>(event)) {
      recorded_.lines.push_back(name + " failed");
    } else if (const auto* stop = std::get_if<core::StopEvent>(&event)) {
      stop_deadline_ = now.monotonic + stop->deadline;
      next_wakeup_ = stop_deadline_;
      return;
    }
    if (now.monotonic >= stop_deadline_) {
      effects.push_back(core::StoppedEffect{});
    }
  }

  Instant NextWakeup() const override { return next_wakeup_; }
  uint64_t StateHash() const override { return 0; }
  const wire::InstanceInfo* FindPeer(const InstanceName&) const override {
    return nullptr;
  }
  core::CoreStatus Status(const core::Now&) const override { return {}; }

 private:
  core::NodeSettings settings_;
  RecordedEvents& recorded_;
  Instant next_wakeup_ = Instant::min();
  Instant stop_deadline_ = Instant::max();
};

/// Creates a world of two entries with fake cores.
std::unique_ptr<World> MakeWorld(RecordedEvents& recorded, uint64_t seed = 1) {
  WorldSettings settings;
  settings.deployment =
      MakeDeployment({.zones = 2, .entries = 2, .sidecars = 0});
  settings.seed = seed;
  settings.hash_bytes = true;
  settings.make_core = [&recorded](const core::NodeSettings& node) {
    return std::make_unique<FakeCore>(node, recorded);
  };
  auto world = World::Create(std::move(settings));
  cr_assert(world.ok());
  return std::move(*world);
}

const InstanceName first_entry("entry-1");
const InstanceName second_entry("entry-2");

wire::JobSpec MakeSpec(const char* id) {
  wire::JobSpec spec;
  spec.id = JobId(id);
  return spec;
}

uint64_t HashOfDisturbedRun(uint64_t seed) {
  RecordedEvents recorded;
  auto world = MakeWorld(recorded, seed);
  world->network().SetDisturbance({0.2, 0.2, 0.2, 50 * kMilli});
  world->StartAll(20 * kMilli);
  world->Run(2'000 * kMilli);
  world->Kill(first_entry);
  world->Start(first_entry);
  world->Run(2'000 * kMilli);
  return world->hash();
}

Test(harness, same_seed_repeats_the_run_byte_for_byte) {
  cr_assert_eq(HashOfDisturbedRun(7), HashOfDisturbedRun(7));
  cr_assert_neq(HashOfDisturbedRun(7), HashOfDisturbedRun(8));
}

Test(harness, clocks_have_origin_and_rate_of_their_own) {
  const ProcessClock clock(Duration(5), Duration(1'000), 500, Duration(0));
  cr_assert_eq(filbertwick::ToMicros(clock.At(Duration(2'000'005)).monotonic),
               2'002'000);
  for (int64_t n = 1'000; n < 9'000; n += 7) {
    const Instant instant = filbertwick::FromMicros(n);
    const Duration when = clock.VirtualTimeOf(instant);
    cr_assert_geq(filbertwick::ToMicros(clock.At(when).monotonic), n);
    cr_assert_lt(filbertwick::ToMicros(clock.At(when - Duration(1)).monotonic),
                 n);
  }
}

Test(harness, a_paused_process_handles_its_events_after_resume) {
  RecordedEvents recorded;
  auto world = MakeWorld(recorded);
  world->Start(first_entry);
  world->Start(second_entry);
  world->Run(10 * kMilli);
  world->Pause(second_entry, false);
  const size_t before = recorded.Count("entry-2 message");
  world->Run(1'000 * kMilli);
  cr_assert_eq(recorded.Count("entry-2 message"), before);
  world->Resume(second_entry);
  cr_assert_geq(recorded.Count("entry-2 message"), before + 9);
}

Test(harness, a_pause_between_decision_and_send_holds_effects_back) {
  RecordedEvents recorded;
  auto world = MakeWorld(recorded);
  world->Start(first_entry);
  world->Run(10 * kMilli);
  world->Pause(first_entry, true);
  bool answered = false;
  world->Submit(
      first_entry, MakeSpec("job"),
      [&](const core::AnswerEffect* it) { answered = it != nullptr; });
  world->Run(50 * kMilli);
  cr_assert_eq(recorded.Count("entry-1 submit"), 1);
  cr_assert_not(answered);
  world->Resume(first_entry);
  world->Run(50 * kMilli);
  cr_assert(answered);
}

Test(harness, cuts_lose_datagrams_one_way) {
  RecordedEvents recorded;
  auto world = MakeWorld(recorded);
  world->network().Cut(first_entry, second_entry, true);
  world->Start(first_entry);
  world->Start(second_entry);
  world->Run(55 * kMilli);
  cr_assert_eq(recorded.Count("entry-2 message"), 1);
  world->network().HealAll();
  world->Run(100 * kMilli);
  cr_assert_eq(recorded.Count("entry-2 message"), 3);
}

Test(harness, connections_of_a_killed_entry_break) {
  RecordedEvents recorded;
  auto world = MakeWorld(recorded);
  world->Start(first_entry);
  world->Pause(first_entry, false);
  int broken = 0;
  const auto count_broken_connections = [&](const core::AnswerEffect* it) {
    broken += it ? 0 : 1;
  };
  world->Submit(first_entry, MakeSpec("open"), count_broken_connections);
  world->Run(10 * kMilli);
  cr_assert_eq(broken, 0);
  world->Kill(first_entry);
  world->Submit(first_entry, MakeSpec("nobody"), count_broken_connections);
  world->Run(10 * kMilli);
  cr_assert_eq(broken, 2);
}

Test(harness, a_start_during_a_graceful_stop_follows_the_exit) {
  RecordedEvents recorded;
  auto world = MakeWorld(recorded);
  world->Start(first_entry);
  world->Run(kTickInterval);
  world->Stop(first_entry, 10 * kTickInterval);
  world->Run(kTickInterval);
  const core::Core* draining_core = world->FindCore(first_entry);
  world->Start(first_entry);
  world->Run(kTickInterval);
  cr_assert(world->FindCore(first_entry) == draining_core,
            "the stopping process was replaced before its exit");
  world->Run(20 * kTickInterval);
  cr_assert(world->FindCore(first_entry) != nullptr,
            "the instance was not started again after its exit");
}

Test(harness, the_log_delivers_records_and_injected_faults) {
  RecordedEvents recorded;
  auto world = MakeWorld(recorded);
  world->Start(first_entry);
  world->Start(second_entry);
  world->Submit(first_entry, MakeSpec("plain"), nullptr);
  world->Run(50 * kMilli);
  cr_assert_eq(recorded.Count("entry-2 read plain"), 1);
  cr_assert_eq(recorded.Count("entry-1 failed"), 0);
  // Lost answer: the record is in the log, yet the append is reported as
  // failed.
  world->log().LoseAnswers(1);
  world->Submit(first_entry, MakeSpec("lost"), nullptr);
  world->Run(6'000 * kMilli);
  cr_assert_eq(recorded.Count("entry-2 read lost"), 1);
  cr_assert_eq(recorded.Count("entry-1 failed"), 1);
  // Log down: nothing is written or read.
  world->log().SetDown(true);
  world->Submit(first_entry, MakeSpec("down"), nullptr);
  world->Run(6'000 * kMilli);
  cr_assert_eq(world->log().head(), 2);
  cr_assert_eq(recorded.Count("entry-1 failed"), 2);
  cr_assert_gt(recorded.Count("entry-2 down"), 1);
}

Test(harness, a_trimmed_log_starts_at_the_newest_valid_checkpoint) {
  RecordedEvents recorded;
  auto world = MakeWorld(recorded);
  const auto append = [&](const char* change, wire::ControlBody body) {
    wire::ControlRecord record;
    record.change = ChangeId(change);
    record.body = std::move(body);
    world->log().Append(first_entry, record);
    world->Run(20 * kMilli);
  };
  append("a", wire::SetZone{});
  append("true", wire::Checkpoint{1, ""});
  append("b", wire::SetZone{});
  append("overtaken", wire::Checkpoint{2, ""});
  world->log().Trim();
  cr_assert_eq(world->log().first(), 1);
  world->Start(second_entry);
  world->Run(20 * kMilli);
  cr_assert_eq(recorded.Count("entry-2 read a"), 0);
  cr_assert_eq(recorded.Count("entry-2 read true"), 1);
  cr_assert_eq(recorded.Count("entry-2 read b"), 1);
}

}  // namespace

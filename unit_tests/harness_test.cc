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
constexpr Duration kTick = 100 * kMilli;

/// What the cores of one world saw.
struct Seen {
  std::vector<std::string> lines;

  size_t Count(const std::string& text) const {
    return static_cast<size_t>(std::ranges::count(lines, text));
  }
};

/// A core that ticks, sends a probe at each tick, appends a record for each
/// submission and answers it.
class ToyCore : public core::Core {
 public:
  ToyCore(const core::NodeSettings& settings, Seen& seen)
      : settings_(settings), seen_(seen) {}

  void Handle(const core::Now& now,
              core::Event event,
              core::Effects& effects) override {
    const std::string& name = settings_.info.name.value();
    if (std::holds_alternative<core::WakeupEvent>(event)) {
      next_ = now.monotonic + kTick;
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
      seen_.lines.push_back(name + " submit");
    } else if (std::holds_alternative<core::MessageEvent>(event)) {
      seen_.lines.push_back(name + " message");
    } else if (const auto* read = std::get_if<core::LogReadEvent>(&event)) {
      for (const wire::ControlRecord& record : read->records) {
        seen_.lines.push_back(name + " read " + record.change.value());
      }
    } else if (std::holds_alternative<core::LogReadFailedEvent>(event)) {
      seen_.lines.push_back(name + " down");
    } else if (std::holds_alternative<core::AppendFailedEvent>(event)) {
      seen_.lines.push_back(name + " failed");
    } else if (const auto* stop = std::get_if<core::StopEvent>(&event)) {
      stop_at_ = now.monotonic + stop->deadline;
      next_ = stop_at_;
      return;
    }
    if (now.monotonic >= stop_at_) {
      effects.push_back(core::StoppedEffect{});
    }
  }

  Instant NextWakeup() const override { return next_; }
  uint64_t StateHash() const override { return 0; }
  const wire::InstanceInfo* FindPeer(const InstanceName&) const override {
    return nullptr;
  }
  core::CoreStatus Status(const core::Now&) const override { return {}; }

 private:
  core::NodeSettings settings_;
  Seen& seen_;
  Instant next_ = Instant::min();
  Instant stop_at_ = Instant::max();
};

/// Two entries with toy cores.
std::unique_ptr<World> MakeWorld(Seen& seen, uint64_t seed = 1) {
  WorldSettings settings;
  settings.deployment =
      MakeDeployment({.zones = 2, .entries = 2, .sidecars = 0});
  settings.seed = seed;
  settings.hash_bytes = true;
  settings.make_core = [&seen](const core::NodeSettings& node) {
    return std::make_unique<ToyCore>(node, seen);
  };
  auto world = World::Create(std::move(settings));
  cr_assert(world.ok());
  return std::move(*world);
}

const InstanceName first_entry("entry-1");
const InstanceName second_entry("entry-2");

wire::JobSpec Spec(const char* id) {
  wire::JobSpec spec;
  spec.id = JobId(id);
  return spec;
}

uint64_t HashOfRun(uint64_t seed) {
  Seen seen;
  auto world = MakeWorld(seen, seed);
  world->network().SetDisturbance({0.2, 0.2, 0.2, 50 * kMilli});
  world->StartAll(20 * kMilli);
  world->Run(2'000 * kMilli);
  world->Kill(first_entry);
  world->Start(first_entry);
  world->Run(2'000 * kMilli);
  return world->hash();
}

Test(harness, a_seed_repeats_to_the_byte) {
  cr_assert_eq(HashOfRun(7), HashOfRun(7));
  cr_assert_neq(HashOfRun(7), HashOfRun(8));
}

Test(harness, clocks_have_origin_and_rate_of_their_own) {
  const ProcessClock clock(Duration(5), Duration(1'000), 500, Duration(0));
  cr_assert_eq(filbertwick::ToMicros(clock.At(Duration(2'000'005)).monotonic),
               2'002'000);
  for (int64_t n = 1'000; n < 9'000; n += 7) {
    const Instant instant = filbertwick::FromMicros(n);
    const Duration when = clock.When(instant);
    cr_assert_geq(filbertwick::ToMicros(clock.At(when).monotonic), n);
    cr_assert_lt(filbertwick::ToMicros(clock.At(when - Duration(1)).monotonic),
                 n);
  }
}

Test(harness, a_paused_process_takes_all_later) {
  Seen seen;
  auto world = MakeWorld(seen);
  world->Start(first_entry);
  world->Start(second_entry);
  world->Run(10 * kMilli);
  world->Pause(second_entry, false);
  const size_t before = seen.Count("entry-2 message");
  world->Run(1'000 * kMilli);
  cr_assert_eq(seen.Count("entry-2 message"), before);
  world->Resume(second_entry);
  cr_assert_geq(seen.Count("entry-2 message"), before + 9);
}

Test(harness, a_pause_between_decision_and_send_holds_effects_back) {
  Seen seen;
  auto world = MakeWorld(seen);
  world->Start(first_entry);
  world->Run(10 * kMilli);
  world->Pause(first_entry, true);
  bool answered = false;
  world->Submit(first_entry, Spec("job"), [&](const core::AnswerEffect* it) {
    answered = it != nullptr;
  });
  world->Run(50 * kMilli);
  cr_assert_eq(seen.Count("entry-1 submit"), 1);
  cr_assert_not(answered);
  world->Resume(first_entry);
  world->Run(50 * kMilli);
  cr_assert(answered);
}

Test(harness, cuts_lose_datagrams_one_way) {
  Seen seen;
  auto world = MakeWorld(seen);
  world->network().Cut(first_entry, second_entry, true);
  world->Start(first_entry);
  world->Start(second_entry);
  world->Run(55 * kMilli);
  cr_assert_eq(seen.Count("entry-2 message"), 1);
  world->network().HealAll();
  world->Run(100 * kMilli);
  cr_assert_eq(seen.Count("entry-2 message"), 3);
}

Test(harness, a_killed_entry_breaks_its_connections) {
  Seen seen;
  auto world = MakeWorld(seen);
  world->Start(first_entry);
  world->Pause(first_entry, false);
  int broken = 0;
  const auto count = [&](const core::AnswerEffect* it) {
    broken += it ? 0 : 1;
  };
  world->Submit(first_entry, Spec("open"), count);
  world->Run(10 * kMilli);
  cr_assert_eq(broken, 0);
  world->Kill(first_entry);
  world->Submit(first_entry, Spec("nobody"), count);
  world->Run(10 * kMilli);
  cr_assert_eq(broken, 2);
}

Test(harness, a_start_during_a_planned_stop_follows_the_exit) {
  Seen seen;
  auto world = MakeWorld(seen);
  world->Start(first_entry);
  world->Run(kTick);
  world->Stop(first_entry, 10 * kTick);
  world->Run(kTick);
  const core::Core* old = world->FindCore(first_entry);
  world->Start(first_entry);
  world->Run(kTick);
  cr_assert(world->FindCore(first_entry) == old, "it still drains");
  world->Run(20 * kTick);
  cr_assert(world->FindCore(first_entry) != nullptr, "nobody started it again");
}

Test(harness, the_log_delivers_and_fails_as_told) {
  Seen seen;
  auto world = MakeWorld(seen);
  world->Start(first_entry);
  world->Start(second_entry);
  world->Submit(first_entry, Spec("plain"), nullptr);
  world->Run(50 * kMilli);
  cr_assert_eq(seen.Count("entry-2 read plain"), 1);
  cr_assert_eq(seen.Count("entry-1 failed"), 0);
  // A lost answer: the record is there and the append counts as failed.
  world->log().LoseAnswers(1);
  world->Submit(first_entry, Spec("lost"), nullptr);
  world->Run(6'000 * kMilli);
  cr_assert_eq(seen.Count("entry-2 read lost"), 1);
  cr_assert_eq(seen.Count("entry-1 failed"), 1);
  // Down: nothing is written or read.
  world->log().SetDown(true);
  world->Submit(first_entry, Spec("down"), nullptr);
  world->Run(6'000 * kMilli);
  cr_assert_eq(world->log().head(), 2);
  cr_assert_eq(seen.Count("entry-1 failed"), 2);
  cr_assert_gt(seen.Count("entry-2 down"), 1);
}

Test(harness, a_trimmed_log_starts_at_the_newest_true_checkpoint) {
  Seen seen;
  auto world = MakeWorld(seen);
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
  cr_assert_eq(seen.Count("entry-2 read a"), 0);
  cr_assert_eq(seen.Count("entry-2 read true"), 1);
  cr_assert_eq(seen.Count("entry-2 read b"), 1);
}

}  // namespace

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>

#include "filbertwick/core/policy/dispatcher.h"

namespace filbertwick::bench {
namespace {

using core::policy::Dispatcher;
using core::policy::Placement;
using core::policy::PlacementOutcome;

constexpr uint32_t kTeams = 450;
constexpr uint32_t kSlots = 8;
constexpr const char* kService = "capsule";

bundle::Bundle MakeBundle() {
  bundle::Bundle bundle;
  bundle.zones = {{ZoneName("a"), RegionName("r")}};
  bundle::Service& service = bundle.services.emplace_back();
  service.name = ServiceName(kService);
  service.zones = {ZoneName("a")};
  service.slots = kSlots;
  service.queue = 2;
  for (uint32_t i = 0; i < kTeams; ++i) {
    bundle.teams.push_back(
        {TeamName(fmt::format("team{}", i)), RegionName("r"), 1, 1'000'000});
  }
  return bundle;
}

/// Creates a dispatcher with `upstreams` upstreams and at least `tasks` waiting
/// tasks; the last job may exceed the count.
std::unique_ptr<Dispatcher> MakeDispatcher(int64_t upstreams, int64_t tasks) {
  core::policy::PolicySettings settings;
  settings.sharing_entries = 3;
  settings.slow_start = false;
  auto dispatcher = Dispatcher::Create(settings, 1);
  dispatcher->SetBundle(MakeBundle());
  for (int64_t i = 0; i < upstreams; ++i) {
    dispatcher->UpsertUpstream(
        {.name = InstanceName(fmt::format("upstream{}", i)),
         .service = ServiceName(kService),
         .zone = ZoneName("a"),
         .distance = Duration(100 + i % 3 * 400)},
        Instant());
  }
  // Jobs have 1 to 980 tasks and rotate over all teams; every second one has an
  // urgent deadline.
  uint64_t job = 0;
  for (int64_t added = 0; added < tasks;) {
    const auto size =
        static_cast<uint32_t>(1 + job * 7919 % 980 / (1 + job % 40));
    ++job;
    dispatcher->AddJob(
        job,
        {.service = ServiceName(kService),
         .team = TeamName(fmt::format("team{}", job % kTeams)),
         .tasks = size,
         .deadline = std::chrono::seconds(job % 2 == 0 ? 5 : 60)},
        Instant(Duration(job)));
    for (uint32_t i = 0; i < size; ++i) {
      dispatcher->AddTask({job, i}, Instant(Duration(job)));
    }
    added += size;
  }
  return dispatcher;
}

/// Mean processing times per task, in microseconds.
struct Cost {
  /// Time in NextPlacement() alone.
  double placement = 0;
  /// Time of the whole cycle: placement, start, end, load update and enqueueing
  /// of the next task.
  double whole = 0;
};

double Micros(std::chrono::steady_clock::duration time) {
  return std::chrono::duration<double, std::micro>(time).count();
}

/// Measures the steady state: each round ends the oldest running task, enqueues
/// it again and places the next one, so the number of waiting tasks stays
/// constant.
Cost Measure(int64_t upstreams, int64_t tasks) {
  constexpr int kRounds = 50'000;
  const auto dispatcher = MakeDispatcher(upstreams, tasks);
  std::deque<Placement> running;
  Instant now(std::chrono::seconds(1));
  while (auto placement = dispatcher->NextPlacement(now)) {
    dispatcher->OnStarted(placement->task, now);
    running.push_back(std::move(*placement));
  }
  std::chrono::steady_clock::duration placement_time{0};
  const auto start = std::chrono::steady_clock::now();
  for (int round = 0; round < kRounds; ++round) {
    now += Duration(10);
    const Placement ended = std::move(running.front());
    running.pop_front();
    dispatcher->OnEnded(ended.task, PlacementOutcome::kSucceeded,
                        Duration(100'000 + round % 64 * 1000), now);
    dispatcher->UpdateLoad(ended.upstream,
                           {.slots = kSlots, .running = kSlots - 1}, now);
    dispatcher->AddTask(ended.task, now);
    const auto before = std::chrono::steady_clock::now();
    auto placement = dispatcher->NextPlacement(now);
    placement_time += std::chrono::steady_clock::now() - before;
    if (placement) {
      dispatcher->OnStarted(placement->task, now);
      running.push_back(std::move(*placement));
    }
  }
  return {Micros(placement_time) / kRounds,
          Micros(std::chrono::steady_clock::now() - start) / kRounds};
}

}  // namespace
}  // namespace filbertwick::bench

/// Prints the median over five runs of the time per placement and of the whole
/// dispatcher cycle per task.
int main() {
  using filbertwick::bench::Cost;
  fmt::print("{:>9} {:>9} {:>13} {:>13}\n", "upstreams", "waiting",
             "placement us", "whole task us");
  for (const int64_t tasks : {1'000, 10'000, 100'000}) {
    for (const int64_t upstreams : {11, 200, 1'900, 7'600}) {
      std::array<double, 5> placements;
      std::array<double, 5> wholes;
      for (size_t i = 0; i < placements.size(); ++i) {
        const Cost cost = filbertwick::bench::Measure(upstreams, tasks);
        placements[i] = cost.placement;
        wholes[i] = cost.whole;
      }
      std::ranges::sort(placements);
      std::ranges::sort(wholes);
      fmt::print("{:>9} {:>9} {:>13.2f} {:>13.2f}\n", upstreams, tasks,
                 placements[2], wholes[2]);
    }
  }
  return 0;
}

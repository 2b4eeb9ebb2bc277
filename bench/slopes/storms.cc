#include "bench/slopes/storms.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <utility>

#include "bench/slopes/series.h"
#include "filbertwick/harness/testbed.h"

namespace filbertwick::bench {
namespace {

/// A simulated deployment in which the caller restarts many instances. Counts
/// the control records appended since 10 s after the boot, when it has settled.
struct Storm {
  std::unique_ptr<harness::Testbed> testbed;
  wire::LogOffset first = 0;

  explicit Storm(uint32_t sidecars, uint32_t checkpoint_records = 500) {
    harness::TestbedSettings settings;
    settings.world.timing.checkpoint_records = checkpoint_records;
    settings.world.deployment = harness::MakeDeployment(
        {.zones = 3, .entries = 3, .sidecars = sidecars});
    settings.world.make_core =
        harness::MakeDaemonCoreFactory(settings.world.deployment);
    auto made = harness::Testbed::Create(std::move(settings));
    testbed = std::move(*made);
    if (!testbed->Boot(std::chrono::seconds(60))) {
      fmt::print("  the deployment of {} sidecars did not boot\n", sidecars);
    }
    Run(10);
    first = world().log().head();
  }

  harness::World& world() { return testbed->world(); }
  void Run(int seconds) { world().Run(std::chrono::seconds(seconds)); }
  double Records() { return static_cast<double>(world().log().head() - first); }
};

/// Numbers of checkpoint records in a log. A checkpoint is accepted if its
/// offset is its position in the log; otherwise other records were appended
/// first and it is refused.
struct CheckpointCounts {
  uint64_t accepted = 0;
  uint64_t refused = 0;
};

CheckpointCounts CountCheckpoints(const harness::ControlLog& log,
                                  wire::LogOffset first) {
  CheckpointCounts counts;
  for (wire::LogOffset at = std::max(first, log.first()); at < log.head();
       ++at) {
    const auto* checkpoint =
        std::get_if<wire::Checkpoint>(&log.records()[at - log.first()].body);
    if (checkpoint != nullptr) {
      ++(checkpoint->offset == at ? counts.accepted : counts.refused);
    }
  }
  return counts;
}

}  // namespace

void MeasureCheckpoints() {
  constexpr uint32_t kRounds = 5;
  constexpr uint64_t kMaxRefusedCheckpoints = 500;
  fmt::print(
      "\n# 11 sidecars killed and started again within 30 ms, up to five times "
      "in "
      "15 s, 3 entries\n");
  for (const uint32_t threshold : {15U, 30U, 60U, 500U}) {
    Storm storm(11, threshold);
    for (uint32_t round = 0; round < kRounds; ++round) {
      for (uint32_t k = 0; k < 11; ++k) {
        const InstanceName name(fmt::format("sidecar-{}", k + 1));
        storm.world().Kill(name);
        storm.world().loop().After(
            std::chrono::milliseconds(3 * k),
            [&world = storm.world(), name] { world.Start(name); });
      }
      storm.Run(3);
      // Stops early when refused checkpoints cause new ones without end.
      if (CountCheckpoints(storm.world().log(), storm.first).refused >
          kMaxRefusedCheckpoints) {
        break;
      }
    }
    const CheckpointCounts counts =
        CountCheckpoints(storm.world().log(), storm.first);
    fmt::print(
        "  a checkpoint every {} records: {} records, of these {} checkpoints "
        "that count and {} refused\n",
        threshold, storm.Records(), counts.accepted, counts.refused);
  }
}

void MeasureStorms() {
  fmt::print("\n# records a storm appends, worlds of 3 entries, 33 sidecars\n");
  Series killed("  killed and restarted 5 s later, records", "sidecars at once",
                300);
  Series stopped("  stopped and started again, records", "sidecars at once",
                 300);
  for (const uint32_t n : {1U, 3U, 6U, 11U, 16U}) {
    Storm kill(33);
    Storm stop(33);
    const auto name = [](uint32_t k) {
      return InstanceName(fmt::format("sidecar-{}", k + 1));
    };
    for (uint32_t k = 0; k < n; ++k) {
      kill.world().Kill(name(k));
      stop.world().Stop(name(k), std::chrono::seconds(10));
    }
    kill.Run(5);
    stop.Run(5);
    for (uint32_t k = 0; k < n; ++k) {
      kill.world().Start(name(k));
      stop.world().Start(name(k));
    }
    kill.Run(30);
    stop.Run(30);
    killed.Add(n, kill.Records());
    stopped.Add(n, stop.Records());
  }
  killed.Print();
  stopped.Print();
  Storm lost(33);
  for (uint32_t k = 0; k < 11; ++k) {
    lost.world().Kill(InstanceName(fmt::format("sidecar-{}", 3 * k + 1)));
  }
  lost.Run(100);
  fmt::print("  a zone of 11 sidecars lost for good: {} records in 100 s\n",
             lost.Records());
  Storm entries(33);
  for (uint32_t k = 1; k <= 3; ++k) {
    const InstanceName name(fmt::format("entry-{}", k));
    entries.world().Stop(name, std::chrono::seconds(10));
    entries.Run(5);
    entries.world().Start(name);
    entries.Run(20);
  }
  fmt::print("  three entries stopped and started in turn: {} records\n",
             entries.Records());
}

}  // namespace filbertwick::bench

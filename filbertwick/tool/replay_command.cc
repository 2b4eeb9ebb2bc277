#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "filbertwick/harness/load_replay.h"
#include "filbertwick/tool/command_table.h"

namespace filbertwick::tool {
namespace {

using harness::LoadFigures;
using harness::LoadResult;
using harness::NamedLoad;

std::string FormatFigures(std::string_view name, const LoadFigures& figures) {
  const auto share = [&](uint32_t n) {
    return static_cast<double>(n) / std::max(figures.asked, 1u);
  };
  return fmt::format(
      "{:<18} {:>6} {:>7.3f} {:>7.3f} {:>7.3f} {:>7.3f} {:>7.3f}", name,
      figures.asked, share(figures.in_time), share(figures.late),
      share(figures.refused), share(figures.failed),
      figures.worth_asked > 0 ? figures.worth_earned / figures.worth_asked : 0);
}

double UsedShare(const LoadResult& result) {
  const auto sum = [](const std::vector<int64_t>& samples) {
    return static_cast<double>(
        std::accumulate(samples.begin(), samples.end(), int64_t{0}));
  };
  return sum(result.used_cpu_millis) / sum(result.present_cpu_millis);
}

/// `replay`: runs loads through the real entry and sidecar cores.
class ReplayCommand : public Command {
 public:
  CommandInfo Info() const override {
    // CommandInfo refers to its texts.
    static const std::string details =
        "Sends jobs through the real entry and sidecar cores of the users' "
        "platform, under bursts\nand faults: most loads are those of 11 "
        "upstreams and three entries. Without LOAD all loads are run:\n" +
        FormatNames() +
        "\nPrints the share of jobs answered in time, late, refused and "
        "failed, the worth earned,\nthe share of the capacity in use, and the "
        "worth that a scheduler could earn at most who\nknows all jobs in "
        "advance. Exit code 1 when a task ran twice at a time or an\nupstream "
        "was over its capacity.\n";
    return {"replay",
            "[LOAD...]",
            "run loads through the decision code in virtual time",
            details,
            0,
            kMaxLoads};
  }

  std::vector<Option> Options() override {
    return {
        NumberOption("seeds", "number of seeds of each load (1)", 1, 1000,
                     seeds_),
        FlagOption("by-second", "also print the figures of each second",
                   by_second_),
        FlagOption("by-kind", "also print the figures of each kind of job",
                   by_kind_),
        FlagOption("load-sharing", "switch load sharing on for all loads",
                   load_sharing_),
        FlagOption("by-entry",
                   "also print the figures of each entry and of the callers "
                   "of each zone,\nand the messages per task",
                   by_entry_),
        FlagOption("by-size",
                   "also print the figures of the largest tenth of the jobs "
                   "of each kind,\nthe fifth below it, and the rest",
                   by_size_)};
  }

  ExitCode Run(std::span<const std::string> operands,
               const Environment& environment) override {
    const std::vector<NamedLoad> loads = harness::NamedLoads();
    for (const std::string& name : operands) {
      if (std::ranges::find(loads, name, &NamedLoad::name) == loads.end()) {
        environment.err(
            fmt::format("replay: no load \"{}\", see filbertwick "
                        "replay --help\n",
                        name));
        return ExitCode::kUsage;
      }
    }
    environment.out(
        "load                jobs in time    late refused  failed   worth "
        "   used   bound\n");
    uint32_t violations = 0;
    for (const NamedLoad& load : loads) {
      if (operands.empty() ||
          std::ranges::find(operands, load.name) != operands.end()) {
        violations += RunLoad(load, environment);
      }
    }
    return violations == 0 ? ExitCode::kOk : ExitCode::kFailed;
  }

 private:
  static constexpr size_t kMaxLoads = 100;

  static std::string FormatNames() {
    std::string names;
    for (const NamedLoad& load : harness::NamedLoads()) {
      names += (names.empty() ? "  " : " ") + load.name;
    }
    return names;
  }

  /// Runs the seeds of one load; returns the number of violations.
  uint32_t RunLoad(const NamedLoad& load, const Environment& environment) {
    uint32_t violations = 0;
    for (uint64_t seed = 1; seed <= seeds_; ++seed) {
      environment.err(fmt::format("replaying {}, seed {} of {}\n", load.name,
                                  seed, seeds_));
      harness::LoadPattern pattern = load.pattern;
      pattern.seed = seed;
      pattern.load_sharing |= load_sharing_;
      const LoadResult result = harness::ReplayLoad(pattern);
      violations += result.violations;
      environment.out(fmt::format("{} {:>7.3f} {:>7.3f}{}\n",
                                  FormatFigures(load.name, result.total),
                                  UsedShare(result), result.MaxWorth(),
                                  result.violations > 0 ? "  VIOLATED" : ""));
      environment.out(FormatParts(pattern, result));
    }
    return violations;
  }

  /// Returns the lines of the parts that the options ask for.
  std::string FormatParts(const harness::LoadPattern& pattern,
                          const LoadResult& result) const {
    std::string text;
    const auto add = [&text](std::string_view name,
                             const LoadFigures& figures) {
      text += fmt::format("  {}\n", FormatFigures(name, figures));
    };
    if (by_kind_) {
      for (size_t n = 0; n < result.kinds.size(); ++n) {
        add(pattern.kinds[n].name, result.kinds[n]);
      }
    }
    if (by_entry_) {
      for (size_t n = 0; n < result.entries.size(); ++n) {
        text += fmt::format(
            "  {} {:>7.3f} s\n",
            FormatFigures(fmt::format("entry {}", n), result.entries[n]),
            std::chrono::duration<double>(result.entry_work_times[n]).count());
      }
      for (size_t n = 0; n < result.zones.size(); ++n) {
        add(fmt::format("zone {}", n), result.zones[n]);
      }
      text += fmt::format(
          "  {:.2f} messages per task, {:.2f} of them to sidecars; {} grants, "
          "{} lapsed, {} declined, {} tasks refused for grants\n",
          result.MessagesPerTask(),
          static_cast<double>(result.messages_to_sidecars) /
              static_cast<double>(result.tasks_started),
          result.grants.granted, result.grants.lapsed, result.grants.declined,
          result.grants.refused);
    }
    if (by_size_) {
      constexpr std::array<std::string_view, harness::kSizeClasses> kNames = {
          "largest", "large", "rest"};
      for (size_t kind = 0; kind < result.kinds.size(); ++kind) {
        for (size_t n = 0; n < kNames.size(); ++n) {
          add(fmt::format("{} {}", pattern.kinds[kind].name, kNames[n]),
              result.sizes_of_kinds[kind][n]);
        }
      }
    }
    if (by_second_) {
      for (size_t n = 0; n < result.seconds.size(); ++n) {
        add(fmt::format("second {}", n), result.seconds[n]);
      }
    }
    return text;
  }

  uint64_t seeds_ = 1;
  bool by_second_ = false;
  bool by_entry_ = false;
  bool by_kind_ = false;
  bool by_size_ = false;
  bool load_sharing_ = false;
};

}  // namespace

std::unique_ptr<Command> CreateReplayCommand() {
  return std::make_unique<ReplayCommand>();
}

}  // namespace filbertwick::tool

// Runs randomly generated fault schedules against the real cores in virtual
// time; an independent observer checks every guarantee.

#include <fmt/format.h>
#include <getopt.h>

#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/harness/fault_trial.h"

namespace {

using filbertwick::harness::DisableRule;
using filbertwick::harness::FaultTrialResult;
using filbertwick::harness::FaultTrialSettings;
using filbertwick::harness::FindDeployment;
using filbertwick::harness::RunFaultTrial;
using filbertwick::harness::ShrinkFaults;
using filbertwick::harness::Violation;

/// Number of violating seeds whose fault schedules are shrunk to a smaller
/// failing one; further violating seeds are only counted.
constexpr size_t kMaxShrunk = 10;

constexpr std::string_view kUsage =
    "usage: bench_faults --deployment wiertmistrz|nilecut|small --seeds A-B\n"
    "  --rule-off NAME  switch a safety rule off; may be repeated\n"
    "  --faults LIST    apply only these drawn faults, such as 0,2\n"
    "  --hash           hash every byte and print the hash of each seed\n"
    "  --trace          print every event and effect\n"
    "  --stop-at N      stop after N violating seeds\n";

struct Options {
  std::string deployment = "wiertmistrz";
  uint64_t first = 1;
  uint64_t last = 100;
  std::vector<std::string> rules_off;
  std::optional<std::vector<size_t>> faults;
  bool hash = false;
  bool trace = false;
  uint64_t stop_at = UINT64_MAX;
};

/// Totals over all schedules.
struct Totals {
  uint64_t schedules = 0;
  uint64_t jobs = 0;
  uint64_t complete = 0;
  uint64_t failed = 0;
  uint64_t refused = 0;
  uint64_t violations = 0;
  uint64_t late_starts = 0;
  uint64_t events = 0;
  uint64_t violating_seeds = 0;
  std::map<std::string, uint64_t> guarantees;
  std::map<filbertwick::wire::Reason, uint64_t> reasons;
};

uint64_t ParseNumber(std::string_view text) {
  uint64_t value = 0;
  const auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (ec != std::errc() || end != text.data() + text.size()) {
    fmt::print(stderr, "bench_faults: {} is not a number\n", text);
    std::exit(2);
  }
  return value;
}

void ParseSeeds(std::string_view text, Options& options) {
  const size_t dash = text.find('-');
  options.first = ParseNumber(text.substr(0, dash));
  options.last = dash == std::string_view::npos
                     ? options.first
                     : ParseNumber(text.substr(dash + 1));
}

std::vector<size_t> ParseList(std::string_view text) {
  std::vector<size_t> numbers;
  while (!text.empty()) {
    const size_t comma = text.find(',');
    numbers.push_back(ParseNumber(text.substr(0, comma)));
    text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
  }
  return numbers;
}

Options ParseOptions(int argc, char** argv) {
  Options options;
  static constexpr std::array<option, 9> kOptions = {{
      {"deployment", required_argument, nullptr, 'd'},
      {"seeds", required_argument, nullptr, 's'},
      {"rule-off", required_argument, nullptr, 'r'},
      {"faults", required_argument, nullptr, 'f'},
      {"hash", no_argument, nullptr, 'h'},
      {"trace", no_argument, nullptr, 't'},
      {"stop-at", required_argument, nullptr, 'n'},
      {"help", no_argument, nullptr, '?'},
      {nullptr, 0, nullptr, 0},
  }};
  int c = 0;
  while ((c = getopt_long(argc, argv, "", kOptions.data(), nullptr)) != -1) {
    switch (c) {
      case 'd':
        options.deployment = optarg;
        break;
      case 's':
        ParseSeeds(optarg, options);
        break;
      case 'r':
        options.rules_off.emplace_back(optarg);
        break;
      case 'f':
        options.faults = ParseList(optarg);
        break;
      case 'h':
        options.hash = true;
        break;
      case 't':
        options.trace = true;
        break;
      case 'n':
        options.stop_at = ParseNumber(optarg);
        break;
      default:
        fmt::print(stderr, "{}", kUsage);
        std::exit(2);
    }
  }
  return options;
}

FaultTrialSettings MakeSettings(const Options& options) {
  FaultTrialSettings settings;
  auto deployment = FindDeployment(options.deployment);
  if (!deployment.ok()) {
    fmt::print(stderr, "bench_faults: {}\n{}",
               std::string(deployment.status().message()), kUsage);
    std::exit(2);
  }
  settings.deployment = *deployment;
  for (const std::string& rule : options.rules_off) {
    if (const auto status = DisableRule(rule, settings.rules); !status.ok()) {
      fmt::print(stderr, "bench_faults: {}\n", std::string(status.message()));
      std::exit(2);
    }
  }
  if (options.faults) {
    settings.all_faults = false;
    settings.faults = *options.faults;
  }
  settings.hash_bytes = options.hash;
  if (options.trace) {
    settings.trace = [](const std::string& line) { fmt::print("{}\n", line); };
  }
  return settings;
}

std::string Command(const Options& options,
                    uint64_t seed,
                    const std::vector<size_t>& faults) {
  std::string text =
      fmt::format("build/bin/bench_faults --deployment {} --seeds {}-{}",
                  options.deployment, seed, seed);
  for (const std::string& rule : options.rules_off) {
    text += fmt::format(" --rule-off {}", rule);
  }
  std::string list;
  for (const size_t n : faults) {
    list += fmt::format("{}{}", list.empty() ? "" : ",", n);
  }
  return text + fmt::format(" --faults '{}'", list);
}

void PrintViolations(const Options& options,
                     const FaultTrialSettings& settings,
                     const FaultTrialResult& result,
                     bool shrink) {
  for (const Violation& it : result.violations) {
    fmt::print("seed {}: {:.3f}s {}: {}\n", settings.seed,
               static_cast<double>(it.when.count()) / 1e6, it.guarantee,
               it.text);
  }
  if (!shrink) {
    return;
  }
  const std::vector<size_t> faults =
      options.faults ? *options.faults : ShrinkFaults(settings, result);
  for (const size_t n : faults) {
    fmt::print("  fault {}: {}\n", n, Describe(result.faults[n]));
  }
  fmt::print("  reproduce: {}\n", Command(options, settings.seed, faults));
}

void Add(const FaultTrialResult& result, Totals& totals) {
  ++totals.schedules;
  totals.jobs += result.jobs.jobs;
  totals.complete += result.jobs.complete;
  totals.failed += result.jobs.failed;
  totals.refused += result.jobs.refused;
  totals.violations += result.violations.size();
  totals.violating_seeds += result.violations.empty() ? 0 : 1;
  totals.late_starts += result.late_starts;
  totals.events += result.events;
  for (const auto& [reason, n] : result.jobs.reasons) {
    totals.reasons[reason] += n;
  }
  std::set<std::string> guarantees;
  for (const Violation& it : result.violations) {
    guarantees.insert(it.guarantee);
  }
  for (const std::string& guarantee : guarantees) {
    ++totals.guarantees[guarantee];
  }
}

double Share(uint64_t part, uint64_t whole) {
  return whole == 0
             ? 0
             : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

void PrintTotals(const Totals& totals, double seconds) {
  for (const auto& [guarantee, n] : totals.guarantees) {
    fmt::print("{}: broken in {} schedules\n", guarantee, n);
  }
  for (const auto& [reason, n] : totals.reasons) {
    fmt::print("{}: {} jobs, {:.3f}%\n", ToString(reason), n,
               Share(n, totals.jobs));
  }
  fmt::print(
      "{:.1f} schedules/s, {} events, failed {:.3f}%, refused {:.3f}%, starts "
      "after a not run by an older request {}\n",
      static_cast<double>(totals.schedules) / seconds, totals.events,
      Share(totals.failed, totals.jobs), Share(totals.refused, totals.jobs),
      totals.late_starts);
  fmt::print("schedules {}, jobs {}, completed {:.3f}%, violations {}\n",
             totals.schedules, totals.jobs, Share(totals.complete, totals.jobs),
             totals.violations);
}

}  // namespace

int main(int argc, char** argv) {
  const Options options = ParseOptions(argc, argv);
  FaultTrialSettings settings = MakeSettings(options);
  Totals totals;
  const auto begin = std::chrono::steady_clock::now();
  for (uint64_t seed = options.first;
       seed <= options.last && totals.violating_seeds < options.stop_at;
       ++seed) {
    settings.seed = seed;
    const auto result = RunFaultTrial(settings);
    if (!result.ok()) {
      fmt::print(stderr, "bench_faults: {}\n",
                 std::string(result.status().message()));
      return 2;
    }
    Add(*result, totals);
    if (options.hash) {
      fmt::print("seed {} hash {:016x}\n", seed, result->hash);
    }
    if (!result->violations.empty()) {
      PrintViolations(options, settings, *result,
                      totals.violating_seeds <= kMaxShrunk);
    }
  }
  const std::chrono::duration<double> spent =
      std::chrono::steady_clock::now() - begin;
  PrintTotals(totals, spent.count());
  return totals.violations == 0 ? 0 : 1;
}

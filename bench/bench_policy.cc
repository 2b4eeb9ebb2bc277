#include <fmt/format.h>
#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bench/policy/entry_policy.h"
#include "bench/policy/figures.h"
#include "bench/policy/fleet.h"
#include "bench/policy/ideal.h"
#include "bench/policy/workload.h"

namespace filbertwick::bench {
namespace {

constexpr std::string_view kUsage =
    R"(Runs policies on the same arrivals in virtual time and prints their figures.
  bench_policy [--deployment wiertmistrz|nilecut|letter] [--load X[,Y...]]
               [--seeds A-B] [--policy NAME[,NAME...]|all] [--fault NAME] [--json]
)";

struct Options {
  Deployment deployment = *FindDeployment("wiertmistrz");
  std::vector<double> loads = {0.7};
  uint64_t first_seed = 1;
  uint64_t last_seed = 3;
  std::vector<std::string> policies = {
      "ideal", "random", "round-robin", "power-of-two", "least-outstanding",
      "ours"};
  Fault fault = Fault::kNone;
  bool json = false;
};

std::vector<std::string> Split(std::string_view text) {
  std::vector<std::string> parts(1);
  for (const char c : text) {
    if (c == ',') {
      parts.emplace_back();
    } else {
      parts.back() += c;
    }
  }
  return parts;
}

bool SetSeeds(std::string_view text, Options& options) {
  const size_t dash = text.find('-');
  options.first_seed = std::strtoull(std::string(text).c_str(), nullptr, 10);
  options.last_seed = options.first_seed;
  if (dash != std::string_view::npos) {
    options.last_seed =
        std::strtoull(std::string(text.substr(dash + 1)).c_str(), nullptr, 10);
  }
  return options.first_seed <= options.last_seed;
}

bool SetPolicies(std::string_view text, Options& options) {
  std::vector<std::string> known = PolicyNames();
  known.insert(known.begin(), "ideal");
  options.policies = text == "all" ? known : Split(text);
  return std::ranges::all_of(options.policies, [&](const std::string& name) {
    return std::ranges::find(known, name) != known.end();
  });
}

bool SetOption(int option, std::string_view value, Options& options) {
  switch (option) {
    case 'd': {
      const auto deployment = FindDeployment(value);
      options.deployment = deployment.value_or(options.deployment);
      return deployment.has_value();
    }
    case 'l':
      options.loads.clear();
      for (const std::string& it : Split(value)) {
        options.loads.push_back(std::strtod(it.c_str(), nullptr));
      }
      return std::ranges::all_of(options.loads,
                                 [](double it) { return it > 0 && it <= 2; });
    case 's':
      return SetSeeds(value, options);
    case 'p':
      return SetPolicies(value, options);
    case 'f': {
      const auto fault = FindFault(value);
      options.fault = fault.value_or(Fault::kNone);
      return fault.has_value();
    }
    case 'j':
      options.json = true;
      return true;
    default:
      return false;
  }
}

std::optional<Options> ParseOptions(int argc, char** argv) {
  static const option long_options[] = {
      {"deployment", required_argument, nullptr, 'd'},
      {"load", required_argument, nullptr, 'l'},
      {"seeds", required_argument, nullptr, 's'},
      {"policy", required_argument, nullptr, 'p'},
      {"fault", required_argument, nullptr, 'f'},
      {"json", no_argument, nullptr, 'j'},
      {}};
  Options options;
  while (true) {
    const int it = getopt_long(argc, argv, "", long_options, nullptr);
    if (it == -1) {
      return optind == argc ? std::optional(options) : std::nullopt;
    }
    if (!SetOption(it, optarg == nullptr ? "" : optarg, options)) {
      return std::nullopt;
    }
  }
}

std::vector<Row> RunAll(const Options& options) {
  std::vector<Row> rows;
  for (const double load : options.loads) {
    const size_t first = rows.size();
    for (const std::string& policy : options.policies) {
      rows.push_back({policy, load, {}});
    }
    for (uint64_t seed = options.first_seed; seed <= options.last_seed;
         ++seed) {
      const std::vector<JobArrival> jobs =
          MakeArrivals(options.deployment, load, seed, options.fault);
      for (size_t i = first; i < rows.size(); ++i) {
        const std::string& policy = rows[i].policy;
        rows[i].figures.Add(
            policy == "ideal"
                ? RunIdeal(options.deployment, jobs, options.fault)
                : RunFleet(policy, options.deployment, jobs, options.fault,
                           seed));
      }
    }
  }
  return rows;
}

}  // namespace
}  // namespace filbertwick::bench

int main(int argc, char** argv) {
  using namespace filbertwick::bench;
  const auto options = ParseOptions(argc, argv);
  if (!options) {
    std::fputs(kUsage.data(), stderr);
    return 2;
  }
  const std::vector<Row> rows = RunAll(*options);
  const std::string text = options->json ? FormatJson(rows) : FormatTable(rows);
  std::fputs(text.c_str(), stdout);
  return 0;
}

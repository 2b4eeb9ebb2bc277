#include <fmt/core.h>
#include <getopt.h>

#include <array>
#include <cstdlib>
#include <exception>
#include <filesystem>

#include "bench/live/fleet.h"
#include "bench/live/load.h"
#include "filbertwick/http/target.h"

namespace {

using filbertwick::Duration;
using filbertwick::bench::Fleet;
using filbertwick::bench::FleetSettings;
using filbertwick::bench::LoadResult;
using filbertwick::bench::LoadSettings;
using filbertwick::bench::RunLoad;
using filbertwick::bench::UsageOfRole;
using filbertwick::http::Request;

constexpr int kUsageError = 2;
constexpr uint64_t kMaxProcesses = 200;
constexpr uint64_t kMaxSeconds = 60;
constexpr const char* kHelp =
    "usage: bench_live [OPTION]...\n"
    "Starts a log stand-in, entries, and sidecars with executors as processes\n"
    "on loopback; measures the latency that filbertwick adds to a task, and\n"
    "the starts a second of one entry; ends everything.\n"
    "  --entries N      entries (3)\n"
    "  --sidecars N     sidecars, each with an executor of 8 slots (6)\n"
    "  --run-ms N       run time of a task (5)\n"
    "  --load N         offered load, percent of the slots (30)\n"
    "  --seconds N      time of each part (5)\n"
    "  --job-tasks N    tasks of a job in the part at full speed (100)\n"
    "  --open-jobs N    jobs open at a time in that part (16)\n";

struct Options {
  uint64_t entries = 3;
  uint64_t sidecars = 6;
  uint64_t run_ms = 5;
  uint64_t load = 30;
  uint64_t seconds = 5;
  uint64_t job_tasks = 100;
  uint64_t open_jobs = 16;
};

/// Creates the request for a job of `tasks` tasks that run `run_ms`
/// milliseconds each.
Request MakeJob(const std::string& id, uint64_t tasks, uint64_t run_ms) {
  Request request;
  request.method = "PUT";
  request.target = "/v1/jobs/" + id;
  request.body = R"({"service":"quote","team":"desk","tasks":[)";
  for (uint64_t i = 0; i < tasks; ++i) {
    request.body += fmt::format("{}{{\"run_ms\":{}}}", i ? "," : "", run_ms);
  }
  request.body += "]}";
  return request;
}

double Millis(Duration duration) {
  return static_cast<double>(duration.count()) / 1e3;
}

void PrintResult(const char* name, const LoadResult& result) {
  fmt::print("{:<22} {:>8} ok, p50 {:.3f} ms, p99 {:.3f} ms;", name,
             result.latencies.size(), Millis(result.Quantile(0.5)),
             Millis(result.Quantile(0.99)));
  for (const auto& [status, n] : result.statuses) {
    fmt::print(" {}: {}", status, n);
  }
  fmt::print("\n");
}

void PrintUsage(const UsageOfRole& before,
                const UsageOfRole& after,
                double seconds) {
  for (const auto& [role, usage] : after) {
    fmt::print("  {:<9} {:.2f} processors, {:.1f} MB resident, all together\n",
               role,
               (usage.cpu_seconds - before.at(role).cpu_seconds) / seconds,
               static_cast<double>(usage.memory_bytes) / 1e6);
  }
}

void MeasureLatency(const Fleet& fleet, const Options& options) {
  const double slots = static_cast<double>(options.sidecars * 8);
  const double rate = slots * static_cast<double>(options.load) / 100.0 * 1e3 /
                      static_cast<double>(options.run_ms);
  LoadSettings direct;
  direct.ports = fleet.executors();
  direct.rate = rate;
  direct.time = std::chrono::seconds(options.seconds);
  direct.make = [&](uint64_t n) {
    Request request;
    request.method = "POST";
    request.target = fmt::format("/v1/tasks/direct/{}?attempt=1", n);
    request.body = fmt::format(R"({{"run_ms":{}}})", options.run_ms);
    return request;
  };
  LoadSettings through = direct;
  through.ports = fleet.entries();
  through.make = [&](uint64_t n) {
    return MakeJob(fmt::format("single-{}", n), 1, options.run_ms);
  };
  fmt::print("{:.0f} tasks a second, {} % of {:.0f} slots, {} ms each\n", rate,
             options.load, slots, options.run_ms);
  const LoadResult direct_result = RunLoad(direct);
  PrintResult("direct to executors", direct_result);
  const UsageOfRole before = fleet.ReadUsage();
  const LoadResult through_result = RunLoad(through);
  const UsageOfRole after = fleet.ReadUsage();
  PrintResult("through the entries", through_result);
  fmt::print(
      "added: p50 {:.3f} ms, p99 {:.3f} ms\n",
      Millis(through_result.Quantile(0.5) - direct_result.Quantile(0.5)),
      Millis(through_result.Quantile(0.99) - direct_result.Quantile(0.99)));
  PrintUsage(before, after, Millis(through_result.time) / 1e3);
}

void MeasureStarts(const Fleet& fleet, const Options& options) {
  LoadSettings load;
  load.ports = {fleet.entries().front()};
  load.concurrency = static_cast<uint32_t>(options.open_jobs);
  load.time = std::chrono::seconds(options.seconds);
  load.make = [&](uint64_t n) {
    return MakeJob(fmt::format("many-{}", n), options.job_tasks, 0);
  };
  const UsageOfRole before = fleet.ReadUsage();
  const LoadResult result = RunLoad(load);
  const UsageOfRole after = fleet.ReadUsage();
  const double seconds = Millis(result.time) / 1e3;
  PrintResult("jobs through one entry", result);
  fmt::print("starts: {:.0f} a second ({} jobs of {} tasks in {:.2f} s)\n",
             static_cast<double>(result.latencies.size() * options.job_tasks) /
                 seconds,
             result.latencies.size(), options.job_tasks, seconds);
  PrintUsage(before, after, seconds);
}

bool ReadOptions(int argc, char** argv, Options& options) {
  static constexpr std::array<option, 8> kOptions = {
      {{"entries", required_argument, nullptr, 'e'},
       {"sidecars", required_argument, nullptr, 's'},
       {"run-ms", required_argument, nullptr, 'r'},
       {"load", required_argument, nullptr, 'l'},
       {"seconds", required_argument, nullptr, 't'},
       {"job-tasks", required_argument, nullptr, 'j'},
       {"open-jobs", required_argument, nullptr, 'o'},
       {nullptr, 0, nullptr, 0}}};
  int it = 0;
  while ((it = getopt_long(argc, argv, "", kOptions.data(), nullptr)) != -1) {
    const uint64_t number =
        filbertwick::http::ParseNumber(optarg ? optarg : "").value_or(0);
    switch (it) {
      case 'e':
        options.entries = number;
        break;
      case 's':
        options.sidecars = number;
        break;
      case 'r':
        options.run_ms = number;
        break;
      case 'l':
        options.load = number;
        break;
      case 't':
        options.seconds = number;
        break;
      case 'j':
        options.job_tasks = number;
        break;
      case 'o':
        options.open_jobs = number;
        break;
      default:
        return false;
    }
    if (number == 0) {
      return false;
    }
  }
  return options.entries + 2 * options.sidecars <= kMaxProcesses &&
         options.seconds <= kMaxSeconds;
}

int Run(int argc, char** argv) {
  Options options;
  if (!ReadOptions(argc, argv, options)) {
    fmt::print(stderr, "{}", kHelp);
    return kUsageError;
  }
  FleetSettings settings;
  settings.programs = std::filesystem::path(argv[0]).parent_path().string();
  settings.entries = static_cast<uint32_t>(options.entries);
  settings.sidecars = static_cast<uint32_t>(options.sidecars);
  const auto fleet = Fleet::Start(settings);
  if (!fleet.ok()) {
    fmt::print(stderr, "bench_live: {}\n", fleet.status().ToString());
    return EXIT_FAILURE;
  }
  fmt::print("{} entries, {} sidecars with executors, 1 log\n", options.entries,
             options.sidecars);
  MeasureLatency(**fleet, options);
  MeasureStarts(**fleet, options);
  const auto [tasks, twice] = (*fleet)->CountStarts();
  fmt::print("tasks started {}, started more than once {}\n", tasks, twice);
  return twice == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::fputs(error.what(), stderr);
    return EXIT_FAILURE;
  }
}

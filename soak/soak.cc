#include <absl/status/statusor.h>
#include <fmt/format.h>
#include <getopt.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include "filbertwick/http/target.h"
#include "soak/faults.h"
#include "soak/fleet.h"
#include "soak/observer.h"

namespace filbertwick::soak {
namespace {

/// Every entry must be ready within this time after a cold start.
constexpr Duration kBootLimit = std::chrono::seconds(15);
/// The platform's limit for recovery after all faults have ended.
constexpr Duration kRecoveryLimit = std::chrono::seconds(12);
/// Time that a configuration may take to come into force, the same as on the
/// platform.
constexpr Duration kConfigurationLimit = std::chrono::seconds(2);
/// A fleet counts as recovered after this many consecutive completed jobs.
constexpr int kRecoveryJobs = 20;
constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
/// Time from the end of the load until every job must be answered or given up.
constexpr Duration kFinalAnswerLimit = std::chrono::seconds(30);
constexpr Duration kPollInterval = std::chrono::milliseconds(50);

struct Options {
  std::string program;
  std::string folder;
  /// First and last seed of the range.
  uint64_t first = 1;
  uint64_t last = 1;
  size_t entries = 3;
  size_t sidecars = 6;
  /// Time over which the faults of a seed start, in seconds.
  int64_t seconds = 12;
  /// If not 0, random seeds are run for this many seconds instead of the range.
  int64_t budget = 0;
};

/// Runs one seed, from the start of the fleet to the printed result.
class Trial {
 public:
  Trial(const Options& options, uint64_t seed)
      : options_(options),
        seed_(seed),
        exit_check_timer_(context_),
        probe_timer_(context_) {}

  /// Returns true if no guarantee was violated. Otherwise the logs are kept.
  bool Run() {
    FleetSettings settings;
    settings.program = options_.program;
    settings.folder = fmt::format("{}/seed-{}", options_.folder, seed_);
    settings.entries = options_.entries;
    settings.sidecars = options_.sidecars;
    settings.seed = seed_;
    std::filesystem::create_directories(settings.folder);
    auto fleet = Fleet::Start(context_, settings, observer_);
    if (!fleet.ok()) {
      observer_.Report("start", std::string(fleet.status().message()));
    } else {
      fleet_ = *std::move(fleet);
      CheckExit();
      RunFaults();
      fleet_.reset();
    }
    Print();
    if (observer_.violations().empty()) {
      std::filesystem::remove_all(settings.folder);
    }
    return observer_.violations().empty();
  }

 private:
  /// Runs the context until `done` returns true or `limit` has passed. Returns
  /// the last result of `done`.
  template <typename Done>
  bool RunUntil(Duration limit, Done done) {
    const Instant end = MonotonicClock::now() + limit;
    while (!done() && MonotonicClock::now() < end) {
      context_.run_one_for(kPollInterval);
    }
    return done();
  }

  void RunFaults() {
    if (!RunUntil(kBootLimit, [this] {
          return fleet_->callers().ready_entries() == options_.entries;
        })) {
      observer_.Report("boot", "not every entry became ready in time");
    }
    const Duration length = std::chrono::seconds(options_.seconds);
    faults_ = DrawFaults(seed_, length, fleet_->instances());
    for (const Fault& fault : faults_) {
      ScheduleFault(context_, *fleet_, fault);
    }
    fleet_->callers().SetLoad(true);
    // The last fault may end after `length`.
    Duration end = length;
    for (const Fault& fault : faults_) {
      end = std::max(end, fault.at + fault.length);
    }
    RunUntil(end + kPollInterval, [] { return false; });
    Recover();
  }

  /// Ends all faults and checks that jobs on a new route complete again within
  /// kRecoveryLimit and that every open job is answered or given up.
  void Recover() {
    fleet_->EndAllFaults();
    prefix_ = fleet_->PublishConfiguration();
    const Instant faults_ended = MonotonicClock::now();
    RunUntil(kConfigurationLimit, [] { return false; });
    Probe();
    if (!RunUntil(kRecoveryLimit - kConfigurationLimit,
                  [this] { return consecutive_completed_ >= kRecoveryJobs; })) {
      observer_.Report(
          "recovery",
          fmt::format("only {} consecutive jobs on a new route completed",
                      consecutive_completed_));
    }
    recovery_time_ = MonotonicClock::now() - faults_ended;
    probing_ = false;
    fleet_->callers().SetLoad(false);
    if (!RunUntil(kFinalAnswerLimit,
                  [this] { return fleet_->callers().open_jobs() == 0; })) {
      observer_.Report("liveness", fmt::format("{} jobs without a final answer",
                                               fleet_->callers().open_jobs()));
    }
  }

  void Probe() {
    if (!probing_) {
      return;
    }
    fleet_->callers().Submit(prefix_, [this](bool completed) {
      consecutive_completed_ = completed ? consecutive_completed_ + 1 : 0;
    });
    probe_timer_.expires_after(kProbeInterval);
    probe_timer_.async_wait([this](const boost::system::error_code& ec) {
      if (!ec) {
        Probe();
      }
    });
  }

  void CheckExit() {
    fleet_->CheckExit();
    exit_check_timer_.expires_after(kPollInterval);
    exit_check_timer_.async_wait([this](const boost::system::error_code& ec) {
      if (!ec && fleet_) {
        CheckExit();
      }
    });
  }

  void Print() {
    const CallerCounts& counts = observer_.counts();
    fmt::print(
        "seed {}: {} faults, {} jobs, {} completed, {} refused, {} resent, {} "
        "given up, {} starts, recovered after {} ms, {} violations\n",
        seed_, faults_.size(), counts.jobs, counts.completed, counts.refused,
        counts.resent, counts.given_up, observer_.starts(),
        recovery_time_ / std::chrono::milliseconds(1),
        observer_.violations().size());
    for (const harness::Violation& violation : observer_.violations()) {
      fmt::print("  {} ms {}: {}\n",
                 violation.when / std::chrono::milliseconds(1),
                 violation.guarantee, violation.text);
    }
    if (!observer_.violations().empty()) {
      for (const Fault& fault : faults_) {
        fmt::print("  fault: {}\n", Describe(fault));
      }
      fmt::print("  logs: {}/seed-{}\n", options_.folder, seed_);
    }
    std::fflush(stdout);
  }

  const Options options_;
  const uint64_t seed_;
  boost::asio::io_context context_;
  Observer observer_;
  std::unique_ptr<Fleet> fleet_;
  boost::asio::steady_timer exit_check_timer_;
  boost::asio::steady_timer probe_timer_;
  std::vector<Fault> faults_;
  std::string prefix_;
  bool probing_ = true;
  int consecutive_completed_ = 0;
  Duration recovery_time_{0};
};

constexpr std::string_view kUsage =
    "usage: soak --program FILE [--folder DIR] [--seeds A-B | --budget S]\n"
    "            [--entries N] [--sidecars N] [--seconds S]\n"
    "  Runs the program as processes on loopback, injects the faults of each\n"
    "  seed for S seconds and checks what callers and upstreams see. Logs of "
    "a\n"
    "  seed with violations stay in DIR. --budget runs random seeds for S\n"
    "  seconds.\n";

template <typename T>
bool ParseInto(std::string_view text, T& number) {
  const auto parsed = http::ParseNumber(text);
  number = static_cast<T>(parsed.value_or(0));
  return parsed.has_value();
}

/// Parses `A-B` or a single seed.
bool ParseSeeds(std::string_view text, Options& options) {
  const size_t dash = text.find('-');
  return ParseInto(text.substr(0, dash), options.first) &&
         ParseInto(dash == text.npos ? text : text.substr(dash + 1),
                   options.last);
}

bool ParseOptions(int argc, char** argv, Options& options) {
  const option long_options[] = {{"program", required_argument, nullptr, 'p'},
                                 {"folder", required_argument, nullptr, 'f'},
                                 {"seeds", required_argument, nullptr, 's'},
                                 {"budget", required_argument, nullptr, 'b'},
                                 {"entries", required_argument, nullptr, 'e'},
                                 {"sidecars", required_argument, nullptr, 'c'},
                                 {"seconds", required_argument, nullptr, 't'},
                                 {nullptr, 0, nullptr, 0}};
  bool valid = true;
  for (int c = 0;
       (c = getopt_long(argc, argv, "", long_options, nullptr)) != -1;) {
    const std::string_view text = optarg == nullptr ? "" : optarg;
    switch (c) {
      case 'p':
        options.program = text;
        break;
      case 'f':
        options.folder = text;
        break;
      case 's':
        valid = valid && ParseSeeds(text, options);
        break;
      case 'b':
        valid = valid && ParseInto(text, options.budget);
        break;
      case 'e':
        valid = valid && ParseInto(text, options.entries);
        break;
      case 'c':
        valid = valid && ParseInto(text, options.sidecars);
        break;
      case 't':
        valid = valid && ParseInto(text, options.seconds);
        break;
      default:
        valid = false;
        break;
    }
  }
  return valid && !options.program.empty() && options.entries > 0 &&
         options.sidecars > 0 && options.entries + options.sidecars <= 250;
}

int Main(int argc, char** argv) {
  Options options;
  options.folder =
      fmt::format("{}/filbertwick-soak-{}",
                  std::filesystem::temp_directory_path().string(), getpid());
  if (!ParseOptions(argc, argv, options)) {
    fmt::print(stderr, "{}", kUsage);
    return 2;
  }
  uint64_t trials = 0;
  uint64_t failed_seeds = 0;
  const Instant start_time = MonotonicClock::now();
  std::random_device fresh;
  const auto has_next_seed = [&] {
    return options.budget == 0 ? options.first + trials <= options.last
                               : MonotonicClock::now() - start_time <
                                     std::chrono::seconds(options.budget);
  };
  while (has_next_seed()) {
    const uint64_t seed =
        options.budget == 0 ? options.first + trials : fresh();
    failed_seeds += Trial(options, seed).Run() ? 0 : 1;
    ++trials;
  }
  fmt::print("{} seeds, {} broken\n", trials, failed_seeds);
  return failed_seeds == 0 ? 0 : 1;
}

}  // namespace
}  // namespace filbertwick::soak

int main(int argc, char** argv) {
  try {
    return filbertwick::soak::Main(argc, argv);
  } catch (const std::exception& error) {
    // For example, a full disk. The instances' processes end with this one.
    std::fprintf(stderr, "soak: %s\n", error.what());
    return 2;
  }
}

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

#include "filbertwick/tool/change.h"
#include "filbertwick/tool/command_table.h"
#include "filbertwick/tool/demo/demo_deployment.h"
#include "filbertwick/tool/demo/demo_load.h"
#include "filbertwick/tool/entry_responses.h"
#include "filbertwick/tool/report.h"

namespace filbertwick::tool {
namespace {

constexpr std::string_view kPrefix = "demo";
/// Limit of the wait until all instances are ready, and of posting a change.
constexpr Duration kReadyTimeout = std::chrono::seconds(8);
/// Limit of the wait for the answers to all jobs.
constexpr Duration kLoadTimeout = std::chrono::seconds(11);
constexpr Duration kPollInterval = std::chrono::milliseconds(50);
/// Shares of the jobs, from 0 to 1, after whose answers the zone is taken out
/// and brought back.
constexpr double kZoneOutAfter = 0.25;
constexpr double kZoneInAfter = 0.6;

/// Returns the quantile of `values` at `share`, from 0 to 1, by nearest rank;
/// 0 when there are no values.
double Quantile(std::vector<double> values, double share) {
  if (values.empty()) {
    return 0;
  }
  std::ranges::sort(values);
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<size_t>(std::lround(share * last))];
}

/// `demo`: runs a small deployment and its load in this process and prints
/// statistics.
class DemoCommand : public Command {
 public:
  CommandInfo Info() const override {
    return {"demo",
            "",
            "run a small deployment in this process and a few hundred jobs",
            "Starts a stand-in for the platform's log, two entries, three "
            "zones with two sidecars\nand executors each, over loopback "
            "sockets; publishes a bundle, submits jobs, takes a\nzone out and "
            "brings it back, and submits one job again through the other "
            "entry.\nExit code 1 if a task started twice or an answer was "
            "partial.\n",
            0,
            0};
  }

  std::vector<Option> Options() override {
    return {NumberOption("jobs", "jobs to submit", 10, 400, jobs_)};
  }

  ExitCode Run(std::span<const std::string>,
               const Environment& environment) override {
    auto deployment = DemoDeployment::Create();
    if (!deployment.ok()) {
      return ReportError(environment, kPrefix, deployment.status());
    }
    const auto entries = (*deployment)->entries();
    environment.out("demo: 2 entries and 6 sidecars in 3 zones are starting\n");
    // The instances form their first generation, and become ready once they
    // have applied the bundle.
    if (!Publish(environment, entries.front()) ||
        !WaitReady(environment, **deployment)) {
      environment.err("demo: the deployment did not become ready\n");
      return ExitCode::kFailed;
    }
    environment.out("demo: bundle 1 is in force, all instances are ready\n");
    return RunLoad(environment, **deployment, entries);
  }

 private:
  static bool SubmitChange(const Environment& environment,
                           const http::ClientSettings& entry,
                           std::string body) {
    http::Request request;
    request.method = "POST";
    request.target = "/v1/changes";
    request.headers = {{"Content-Type", "application/json"},
                       {"Authorization", fmt::format("Bearer {}", kDemoToken)}};
    request.body = std::move(body);
    const auto response = environment.call(entry, request, kReadyTimeout);
    return response.ok() && response->status == 200;
  }

  static bool Publish(const Environment& environment,
                      const http::ClientSettings& entry) {
    ChangeOptions options{"demo", "demo-publish"};
    return SubmitChange(
        environment, entry,
        FormatChange(options,
                     wire::PublishBundle{1, 0, DemoDeployment::BundleText()}));
  }

  static void SetZone(const Environment& environment,
                      const http::ClientSettings& entry,
                      bool out) {
    ChangeOptions options{"demo", out ? "demo-zone-out" : "demo-zone-in"};
    const bool accepted = SubmitChange(
        environment, entry,
        FormatChange(options, wire::SetZone{ZoneName("south"), out}));
    environment.out(fmt::format("demo: zone south {}{}\n", out ? "out" : "in",
                                accepted ? "" : " failed"));
  }

  static bool WaitReady(const Environment& environment,
                        const DemoDeployment& deployment) {
    const Instant until = environment.now() + kReadyTimeout;
    while (!deployment.ready() && environment.now() < until) {
      environment.sleep(kPollInterval);
    }
    return deployment.ready();
  }

  ExitCode RunLoad(const Environment& environment,
                   const DemoDeployment& deployment,
                   const std::vector<http::ClientSettings>& entries) {
    DemoLoadSettings settings;
    settings.jobs = static_cast<uint32_t>(jobs_);
    const uint64_t messages_before = deployment.messages_sent();
    const auto load = DemoLoad::Start(settings, entries);
    const Instant until = environment.now() + kLoadTimeout;
    bool out = false;
    bool in = false;
    uint32_t shown = 0;
    while (!load->done() && environment.now() < until) {
      environment.sleep(kPollInterval);
      const uint32_t n = load->answered();
      if (!out && n >= kZoneOutAfter * settings.jobs) {
        out = true;
        SetZone(environment, entries.back(), true);
      }
      if (!in && n >= kZoneInAfter * settings.jobs) {
        in = true;
        SetZone(environment, entries.front(), false);
      }
      if (n / kProgressJobs != shown) {
        shown = n / kProgressJobs;
        environment.out(fmt::format("demo: {} answers\n", n));
      }
    }
    return Summarize(environment, deployment, load->done(), load->stats(),
                     deployment.messages_sent() - messages_before);
  }

  static ExitCode Summarize(const Environment& environment,
                            const DemoDeployment& deployment,
                            bool done,
                            const DemoLoadStats& stats,
                            uint64_t messages) {
    const uint64_t starts = deployment.starts().starts();
    const uint64_t twice = deployment.starts().tasks_started_twice();
    const double per_task = starts == 0 ? 0
                                        : static_cast<double>(messages) /
                                              static_cast<double>(starts);
    environment.out(fmt::format(
        "\n  answers                {}\n  complete               {}\n"
        "  failed                 {}\n  refused                {}\n"
        "  no answer              {}\n  partial answers        {}\n"
        "  tasks started          {}\n  tasks started twice    {}\n"
        "  slowdown p50           {:.3f}\n  slowdown p99           {:.3f}\n"
        "  messages per task      {:.2f} (heartbeats included)\n",
        stats.jobs, stats.complete, stats.failed, stats.refused,
        stats.unanswered, stats.partial, starts, twice,
        Quantile(stats.slowdowns, 0.5), Quantile(stats.slowdowns, 0.99),
        per_task));
    const bool good = done && twice == 0 && stats.partial == 0 &&
                      stats.unanswered == 0 && starts > 0;
    return good ? ExitCode::kOk : ExitCode::kFailed;
  }

  static constexpr uint32_t kProgressJobs = 100;

  uint64_t jobs_ = 300;
};

}  // namespace

std::unique_ptr<Command> CreateDemoCommand() {
  return std::make_unique<DemoCommand>();
}

}  // namespace filbertwick::tool

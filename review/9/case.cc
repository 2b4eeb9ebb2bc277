// CONFIG: after the platform's store was silent for three seconds, entries run
// jobs of a route that was dropped more than three seconds before.

#include <string>
#include <thread>
#include <vector>

#include "../standins-2/fleet.h"
#include "../standins-2/starts.h"

namespace review {
namespace {

constexpr int kConfigApplyMs = 2000;
constexpr int kStableWindowMs = 3000;
/// The outage, counted from a change of the configuration.
constexpr int kOutageAtMs = 1600;
constexpr int kOutageMs = 3050;
/// From the end of the outage until the route is dropped.
constexpr int kDropDelayMs = 50;
constexpr int kRequestIntervalMs = 20;
constexpr int kRequestsForMs = 500;
constexpr const char* kDroppedPrefix = "/swaps/";

std::vector<Route> AllRoutes() {
  return {{"fits", "/fits/", "swap-service"},
          {"swaps", kDroppedPrefix, "swap-service"}};
}

/// A job that is sent when the route has been dropped everywhere.
struct LateJob {
  size_t entry = 0;
  std::string id;
  int64_t sent_at = 0;
  int status = 0;
};

void Submit(const Fleet& fleet, LateJob& job, Record& record) {
  job.sent_at = NowMs();
  const auto response = CallOnce(
      fleet.CallerEndpoint(job.entry),
      JobRequest("POST", kDroppedPrefix, job.id, FormatJob({1}, 20), 1500),
      2000);
  job.status = response ? response->status : 0;
  record.Line("client: " + job.id + " sent to front-" +
              std::to_string(job.entry) + " at " + std::to_string(job.sent_at) +
              " ms, answer " + std::to_string(job.status) + " " +
              (response ? response->body : ""));
}

int Run(const std::string& record_file) {
  Record record(record_file);
  Starts starts;
  const auto fleet = Fleet::Create({}, starts.Hooks(), record);
  if (!fleet) {
    record.Line("the deployment can't start");
    return kCouldNotRun;
  }
  Store& store = fleet->store();
  store.Put("config", FormatConfiguration(2, AllRoutes()));
  if (!fleet->AwaitReady(10'000)) {
    return kCouldNotRun;
  }
  LateJob first = {0, JobId(1), 0, 0};
  Submit(*fleet, first, record);
  if (first.status != 200) {
    return kCouldNotRun;
  }
  SleepFor(kStableWindowMs);
  const int64_t change = NowMs();
  store.Put("config", FormatConfiguration(5, AllRoutes()));
  SleepUntil(change + kOutageAtMs);
  if (HasTrouble()) {
    store.SetSilent(true);
  }
  SleepUntil(change + kOutageAtMs + kOutageMs);
  if (HasTrouble()) {
    store.SetSilent(false);
  }
  const int64_t outage_end = NowMs();
  SleepUntil(outage_end + kDropDelayMs);
  store.Put("config", FormatConfiguration(9, {AllRoutes()[0]}));
  const int64_t dropped_at = NowMs();

  // All machines are in touch again from then on, and the bound is over.
  const int64_t begin = outage_end + kStableWindowMs + 5;
  std::vector<LateJob> jobs;
  for (int at = 0; at < kRequestsForMs; at += kRequestIntervalMs) {
    for (size_t entry = 0; entry < 2; ++entry) {
      jobs.push_back({entry, JobId(100 + static_cast<int>(jobs.size())), 0, 0});
    }
  }
  std::vector<std::thread> clients;
  for (size_t n = 0; n < jobs.size(); ++n) {
    SleepUntil(begin + static_cast<int64_t>(n / 2) * kRequestIntervalMs);
    clients.emplace_back([&, n] { Submit(*fleet, jobs[n], record); });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  if (fleet->HasUnexpectedEnd()) {
    record.Line("a process has ended");
    return kCouldNotRun;
  }
  int broken = 0;
  for (const LateJob& job : jobs) {
    const bool has_run = !starts.Of(job.id).empty();
    if (has_run && job.sent_at > dropped_at + kConfigApplyMs &&
        job.sent_at > outage_end + kStableWindowMs) {
      ++broken;
      record.Line("CONFIG broken: " + job.id + ", sent " +
                  std::to_string(job.sent_at - dropped_at) +
                  " ms after the acknowledgement of version 9, has run on the "
                  "dropped route");
    }
  }
  record.Line(std::to_string(broken) + " of " + std::to_string(jobs.size()) +
              " jobs have run on the dropped route");
  return broken > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return argc == 2 ? review::Run(argv[1]) : review::kCouldNotRun;
}

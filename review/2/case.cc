#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "../bed/bed.h"

// Callers submit jobs of four tasks of 900 ms. Meanwhile a heartbeat from
// another writer, whose service is not in the configuration, reaches the
// address at which one executor announces itself.
namespace {

constexpr int64_t kDeadlineMs = 4000;
constexpr const char* kSteps =
    R"([{"count":4,"cpu":6200,"mem-mb":64,"estimate-ms":900}])";

std::string ForeignHeartbeat(const std::string& host, int64_t born) {
  return R"({"service":"not-in-the-configuration","address":")" + host +
         R"(:8165","zone":"zone-1","version":"v7","slots":8,"state":"ready",)"
         R"("cold-left-ms":0,"capacity":{"cpu":16000,"mem-mb":32768,"gpu":0},)"
         R"("labels":["a"],"clock-ms":500,"seq":1,"born":)" +
         std::to_string(born) + "}";
}

int Run(const std::string& folder) {
  bed::Deployment it(folder, 2, 3);
  if (!it.AwaitReady()) {
    return bed::kNotRun;
  }
  std::atomic<int> completed = 0;
  std::vector<std::thread> callers;
  for (uint64_t n = 0; n < 6; ++n) {
    callers.emplace_back([&, n] {
      const std::string id = bed::JobId(n + 1);
      const auto response =
          it.Ask(n % 2, id, it.FormatJob(id, "ms=900", kSteps, kDeadlineMs),
                 kDeadlineMs);
      completed += response.status == 200 ? 1 : 0;
    });
    bed::SleepMs(50);
  }
  bed::SleepMs(100);
  if (bed::HasTrouble()) {
    // Another writer was started after the executor, so its `born` is higher.
    const std::string& host = it.sidecar_host(0);
    const auto response = bed::Call(
        host, bed::kControlPort,
        bed::FormatRequest("PUT", "/api/instances/of-another-writer", host, "",
                           ForeignHeartbeat(host, bed::UnixMs())),
        1000);
    it.record().Add("a heartbeat from another writer to the sidecar of " +
                    it.executor(0)->id() + " is answered " +
                    std::to_string(response.status));
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  const int64_t later = bed::NowMs() + 3000;
  bed::SleepMs(3000);
  // Does the executor still get work, after two more of its own heartbeats?
  for (uint64_t n = 0; n < 10; ++n) {
    const std::string id = bed::JobId(100 + n);
    it.Ask(n % 2, id, it.FormatJob(id, "ms=50", kSteps, kDeadlineMs),
           kDeadlineMs);
  }
  const std::vector<bed::Run> runs = it.runs().all();
  size_t late_starts = 0;
  for (const bed::Run& run : runs) {
    late_starts +=
        run.executor == it.executor(0)->id() && run.start_ms >= later ? 1 : 0;
  }
  it.record().Add(it.executor(0)->id() + " begins " +
                  std::to_string(late_starts) +
                  " of the 40 tasks that are sent later");
  const std::vector<std::string> overlaps = bed::FindOverlaps(runs);
  for (const std::string& line : overlaps) {
    it.record().Add(line);
  }
  if (runs.empty() || (!bed::HasTrouble() && completed < 6)) {
    return bed::kNotRun;
  }
  it.record().Add(overlaps.empty() ? "rule TWICE held"
                                   : "rule TWICE is broken");
  return overlaps.empty() ? bed::kHeld : bed::kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  return bed::RunCase(argc, argv, Run);
}

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "../bed/bed.h"

// A caller submits a job of many short steps. With the disruption, each step
// names all earlier steps in `after`; without it, only the one before. Both
// mean the same order. Other callers send small jobs all the time.
namespace {

constexpr size_t kEntries = 2;
constexpr int kSteps = 40;
constexpr int64_t kDeadlineMs = 1500;
constexpr int64_t kResendMs = 1300;
/// Time for which the entries are watched after the last submission.
constexpr int64_t kWatchMs = 20000;
constexpr int64_t kCallPauseMs = 100;
/// An entry hangs when it answers nothing for this long.
constexpr int64_t kHangMs = 10000;

std::string StepsOfChain(bool name_all) {
  std::string steps;
  for (int n = 0; n < kSteps; ++n) {
    std::string after;
    for (int k = name_all ? 0 : std::max(0, n - 1); k < n; ++k) {
      after += (after.empty() ? "" : ",") + std::to_string(k);
    }
    steps += std::string(n == 0 ? "[" : ",") +
             R"({"count":1,"cpu":1000,"mem-mb":64,"estimate-ms":10,"after":[)" +
             after + "]}";
  }
  return steps + "]";
}

/// What the other callers of one entry have seen.
struct Seen {
  std::atomic<int64_t> answered_ms = 0;
  std::atomic<int> answered = 0;
  std::atomic<int> unanswered = 0;
};

int Run(const std::string& folder) {
  bed::Deployment it(folder, kEntries, 3);
  if (!it.AwaitReady()) {
    return bed::kNotRun;
  }
  std::atomic<bool> done = false;
  std::vector<Seen> seen(kEntries);
  std::vector<std::thread> callers;
  for (size_t n = 0; n < kEntries; ++n) {
    callers.emplace_back([&, n] {
      for (uint64_t k = 0; !done; ++k) {
        const std::string id = bed::JobId(1000000 * (n + 1) + k);
        const auto response = it.Ask(
            n, id,
            it.FormatJob(
                id, "ms=20",
                R"([{"count":2,"cpu":1000,"mem-mb":64,"estimate-ms":20}])",
                kDeadlineMs),
            kDeadlineMs);
        if (response.status == 0) {
          ++seen[n].unanswered;
        } else {
          ++seen[n].answered;
          seen[n].answered_ms = bed::NowMs();
        }
        bed::SleepMs(kCallPauseMs);
      }
    });
  }
  bed::SleepMs(3000);
  // The job goes to another node when it got no response.
  const std::string job = it.FormatJob(
      bed::JobId(1), "ms=10", StepsOfChain(bed::HasTrouble()), kDeadlineMs);
  for (size_t n = 0; n < kEntries; ++n) {
    if (it.Ask(n, "the job of 40 steps", job, kDeadlineMs).status != 0) {
      break;
    }
    bed::SleepMs(kResendMs);
  }
  std::vector<int64_t> used(kEntries);
  for (size_t n = 0; n < kEntries; ++n) {
    used[n] = it.entry(n).ProcessorMs();
  }
  bed::SleepMs(kWatchMs);
  const int64_t now = bed::NowMs();
  bool broken = false;
  for (size_t n = 0; n < kEntries; ++n) {
    const int64_t silent = now - seen[n].answered_ms;
    const bool ended = it.entry(n).HasEnded();
    const bool hangs = silent >= kHangMs || ended;
    broken = broken || hangs;
    it.record().Add(
        "entry-" + std::to_string(n + 1) + (hangs ? " HANGS" : " works") +
        ": last answer " + std::to_string(silent) + " ms ago, " +
        std::to_string(seen[n].answered) + " answered, " +
        std::to_string(seen[n].unanswered) +
        " not answered, ready: " + (it.IsReady(n) ? "yes" : "no") +
        ", processor time in the last " + std::to_string(kWatchMs) + " ms: " +
        std::to_string(ended ? -1 : it.entry(n).ProcessorMs() - used[n]) +
        " ms");
  }
  done = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  if (!bed::HasTrouble() && !broken && seen[0].answered == 0) {
    return bed::kNotRun;
  }
  it.record().Add(broken ? "rule Fault is broken" : "rule Fault held");
  return broken ? bed::kBroken : bed::kHeld;
}

}  // namespace

int main(int argc, char** argv) {
  return bed::RunCase(argc, argv, Run);
}

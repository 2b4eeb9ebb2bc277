#ifndef FILBERTWICK_SOAK_OBSERVER_H_
#define FILBERTWICK_SOAK_OBSERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/harness/observer.h"

namespace filbertwick::soak {

/// What callers got, in numbers.
struct CallerCounts {
  uint64_t jobs = 0;
  uint64_t completed = 0;
  uint64_t refused = 0;
  uint64_t resent = 0;
  uint64_t given_up = 0;
};

/// Checks the promises from what callers and upstreams see, while it happens.
class Observer {
 public:
  /// Called before a start is judged: all upstreams end what is due.
  void SetAdvanceHook(std::function<void()> advance) {
    advance_hook_ = std::move(advance);
  }

  /// A caller hands a job in for the first time.
  void OnSubmitted(const std::string& job, uint32_t tasks);
  /// All attempts to hand a job in were refused.
  void OnRefused(const std::string& job);
  /// A job was answered as completed.
  void OnCompleted(const std::string& job);

  /// A task starts at an upstream, beside `running` others there.
  void OnStarted(const std::string& upstream,
                 const std::string& task,
                 size_t running,
                 size_t max_running_tasks);
  /// A run has ended at an upstream, done or not.
  void OnEnded(const std::string& upstream, const std::string& task, bool done);
  /// An upstream ended with everything that ran there.
  void OnUpstreamGone(const std::string& upstream);

  void Report(std::string_view guarantee, std::string text);

  const std::vector<harness::Violation>& violations() const {
    return violations_;
  }
  CallerCounts& counts() { return counts_; }
  uint64_t starts() const { return starts_; }

 private:
  struct Job {
    uint32_t tasks = 0;
    bool refused = false;
    std::set<std::string> done;
  };

  std::function<void()> advance_hook_ = [] {};
  const Instant start_time_ = MonotonicClock::now();
  std::map<std::string, Job> jobs_;
  /// Task to the upstreams where it runs now.
  std::map<std::string, std::multiset<std::string>> running_;
  std::vector<harness::Violation> violations_;
  CallerCounts counts_;
  uint64_t starts_ = 0;
};

}  // namespace filbertwick::soak

#endif  // FILBERTWICK_SOAK_OBSERVER_H_

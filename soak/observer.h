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

/// Counts of jobs and their outcomes, as callers see them.
struct CallerCounts {
  uint64_t jobs = 0;
  uint64_t completed = 0;
  uint64_t refused = 0;
  /// Repeated attempts after a broken connection or a timeout.
  uint64_t resent = 0;
  /// Jobs whose last attempt went unanswered.
  uint64_t given_up = 0;
};

/// Checks the dispatcher's guarantees during a run, from what callers and
/// upstreams see. No task runs twice at the same time; no task runs that wasn't
/// submitted, or whose job was refused; a job is answered as completed only
/// after all of its tasks are done; and no upstream gets more tasks than it has
/// room for.
class Observer {
 public:
  /// Sets the hook that OnStarted() calls first. It must advance all upstreams,
  /// so that runs which are due have ended; otherwise a task that starts again
  /// right after its end would be reported as running twice.
  void SetAdvanceHook(std::function<void()> advance) {
    advance_hook_ = std::move(advance);
  }

  /// A caller submits a job of `tasks` tasks for the first time.
  void OnSubmitted(const std::string& job, uint32_t tasks);
  /// Every attempt to submit a job was refused, so none of its tasks may run.
  void OnRefused(const std::string& job);
  /// A caller was told that a job is completed.
  void OnCompleted(const std::string& job);

  /// A task starts at an upstream where `running` others run already.
  void OnStarted(const std::string& upstream,
                 const std::string& task,
                 size_t running,
                 size_t max_running_tasks);
  /// A run has ended at an upstream; `done` if it ran to its end.
  void OnEnded(const std::string& upstream, const std::string& task, bool done);
  /// An upstream crashed and all runs on it are gone.
  void OnUpstreamGone(const std::string& upstream);

  /// Records a violation of the named guarantee.
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
  /// Upstreams where each task runs now, once per run.
  std::map<std::string, std::multiset<std::string>> running_;
  std::vector<harness::Violation> violations_;
  CallerCounts counts_;
  uint64_t starts_ = 0;
};

}  // namespace filbertwick::soak

#endif  // FILBERTWICK_SOAK_OBSERVER_H_

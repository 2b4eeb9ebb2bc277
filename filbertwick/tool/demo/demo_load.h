#ifndef FILBERTWICK_TOOL_DEMO_DEMO_LOAD_H_
#define FILBERTWICK_TOOL_DEMO_DEMO_LOAD_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/http/client.h"

namespace filbertwick::tool {

/// Statistics over the requests of a demo, as seen by the callers.
struct DemoLoadStats {
  uint32_t jobs = 0;
  uint32_t complete = 0;
  uint32_t failed = 0;
  uint32_t refused = 0;
  /// Requests without a response, or with one that could not be parsed.
  uint32_t unanswered = 0;
  /// Complete answers with a wrong number of tasks, or with a result that is
  /// not the one of its task.
  uint32_t partial = 0;
  /// For each complete job, the response time divided by the run time of its
  /// longest task.
  std::vector<double> slowdowns;
};

/// Parameters of the load of a demo.
struct DemoLoadSettings {
  uint32_t jobs = 300;
  uint32_t max_tasks = 20;
  /// Time between the submissions of two jobs.
  Duration interval = std::chrono::milliseconds(20);
  /// Bounds of the run time of a task.
  uint32_t min_run_millis = 10;
  uint32_t max_run_millis = 80;
  uint64_t seed = 1;
};

/// Submits jobs at a fixed rate, whether or not earlier ones have been
/// answered, and alternates between the entries. Submits one of the jobs again
/// through the other entry while it runs.
class DemoLoad {
 public:
  /// Starts submitting at once, on a separate thread.
  static std::unique_ptr<DemoLoad> Start(
      const DemoLoadSettings& settings,
      std::vector<http::ClientSettings> entries);
  ~DemoLoad();

  /// Returns the number of requests that have finished, with or without an
  /// answer.
  uint32_t answered() const;
  /// True when every request has finished.
  bool done() const;
  /// Returns the statistics so far; they are final once done() is true.
  DemoLoadStats stats() const;

 private:
  class Impl;
  explicit DemoLoad(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_DEMO_DEMO_LOAD_H_

#ifndef FILBERTWICK_TOOL_DEMO_DEMO_LOAD_H_
#define FILBERTWICK_TOOL_DEMO_DEMO_LOAD_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/http/client.h"

namespace filbertwick::tool {

/// What the callers of a demo saw.
struct DemoLoadStats {
  uint32_t jobs = 0;
  uint32_t complete = 0;
  uint32_t failed = 0;
  uint32_t refused = 0;
  /// No answer, or one that could not be read.
  uint32_t unanswered = 0;
  /// Answers with a wrong number of tasks or a result of another request.
  uint32_t partial = 0;
  /// Response time against the longest task of the job, of complete jobs.
  std::vector<double> slowdowns;
};

/// How much load a demo makes.
struct DemoLoadSettings {
  uint32_t jobs = 300;
  uint32_t max_tasks = 20;
  /// Time between two jobs.
  Duration interval = std::chrono::milliseconds(20);
  /// Bounds of a task's run time.
  uint32_t min_run_millis = 10;
  uint32_t max_run_millis = 80;
  uint64_t seed = 1;
};

/// Submits jobs with open arrivals, alternating between the entries, and one
/// of them again through the other entry while it runs.
class DemoLoad {
 public:
  /// Starts to submit at once, on a thread of its own.
  static std::unique_ptr<DemoLoad> Start(
      const DemoLoadSettings& settings,
      std::vector<http::ClientSettings> entries);
  ~DemoLoad();

  /// Answers so far.
  uint32_t answered() const;
  /// True when every request has its answer.
  bool done() const;
  /// What was seen; call it when done().
  DemoLoadStats stats() const;

 private:
  class Impl;
  explicit DemoLoad(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_DEMO_DEMO_LOAD_H_

#ifndef FILBERTWICK_HARNESS_SCENARIO_RUNNER_H_
#define FILBERTWICK_HARNESS_SCENARIO_RUNNER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "filbertwick/harness/core_factory.h"

namespace filbertwick::harness {

/// Settings of a ScenarioRunner.
struct ScenarioSettings {
  /// Receives one line for each event and effect; may be empty.
  std::function<void(const std::string&)> trace;
  /// Receives the texts that a scenario passes to note(); may be empty.
  std::function<void(const std::string&)> print;
  /// Creates the factory of the cores under test; MakeDaemonCoreFactory() if
  /// empty.
  std::function<CoreFactory(const Deployment&)> make_cores;
};

/// Outcome of one scenario.
struct ScenarioResult {
  /// Failed expectations with their script lines, unexpected violations and
  /// script errors; empty if there were none.
  std::vector<std::string> failures;
  /// Number of expectations checked.
  uint64_t expectations = 0;
  /// Digest of all effects; equal for equal scripts and seeds.
  uint64_t hash = 0;

  /// Returns whether nothing failed. A scenario that checks no expectation does
  /// not pass.
  bool passed() const { return failures.empty() && expectations > 0; }
};

/// Runs scenarios: Lua scripts that drive a testbed in virtual time. Each run
/// has its own testbed and Lua state. docs/SCENARIOS.md describes the functions
/// that scripts may call.
class ScenarioRunner {
 public:
  explicit ScenarioRunner(ScenarioSettings settings);
  ~ScenarioRunner();

  /// Runs the script in a file. A file that cannot be read is a failure of the
  /// result.
  ScenarioResult RunFile(const std::string& path);
  /// Runs the script `text`; `name` is its name in failure messages.
  ScenarioResult RunText(const std::string& name, const std::string& text);

 private:
  ScenarioSettings settings_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_SCENARIO_RUNNER_H_

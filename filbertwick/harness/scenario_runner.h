#ifndef FILBERTWICK_HARNESS_SCENARIO_RUNNER_H_
#define FILBERTWICK_HARNESS_SCENARIO_RUNNER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "filbertwick/harness/core_factory.h"

namespace filbertwick::harness {

/// How scenarios are run.
struct ScenarioSettings {
  /// Takes one line for each event and effect; empty for none.
  std::function<void(const std::string&)> trace;
  /// Takes what a scenario prints; empty for none.
  std::function<void(const std::string&)> print;
  /// Makes the cores of a deployment; RealCores() when empty.
  std::function<CoreFactory(const Deployment&)> make_cores;
};

/// What a scenario showed.
struct ScenarioResult {
  /// What failed, each with its line; empty when all held.
  std::vector<std::string> failures;
  /// Expectations checked.
  uint64_t expectations = 0;
  /// Digest of all effects.
  uint64_t hash = 0;

  /// True when at least one expectation was checked and none failed.
  bool passed() const { return failures.empty() && expectations > 0; }
};

/// Runs scenarios: Lua scripts that drive a testbed in virtual time. The
/// functions they may call are described in docs/SCENARIOS.md.
class ScenarioRunner {
 public:
  explicit ScenarioRunner(ScenarioSettings settings);
  ~ScenarioRunner();

  /// Runs the script in a file; a file that cannot be read is a failure.
  ScenarioResult RunFile(const std::string& path);
  /// Runs a script; `name` stands in its messages.
  ScenarioResult RunText(const std::string& name, const std::string& text);

 private:
  ScenarioSettings settings_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_SCENARIO_RUNNER_H_

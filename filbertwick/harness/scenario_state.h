#ifndef FILBERTWICK_HARNESS_SCENARIO_STATE_H_
#define FILBERTWICK_HARNESS_SCENARIO_STATE_H_

#include <cstdint>
#include <lua.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "filbertwick/harness/scenario_runner.h"
#include "filbertwick/harness/testbed.h"

namespace filbertwick::harness {

/// Drops the next `remaining` messages that match all given fields.
struct DropRule {
  /// Sender and receiver; an empty name matches any instance.
  InstanceName from;
  InstanceName to;
  /// Index in the variant wire::Message; negative matches every kind.
  int kind = -1;
  uint32_t remaining = 0;
};

/// State that the script functions of one running scenario share.
struct ScenarioState {
  const ScenarioSettings* settings = nullptr;
  /// Settings of the testbed, complete once the script calls deployment().
  TestbedSettings testbed_settings;
  /// Null until the script calls deployment().
  std::unique_ptr<Testbed> testbed;
  /// Run time of tasks that start from now on.
  Duration run_time = std::chrono::milliseconds(200);
  std::vector<DropRule> drop_rules;
  /// Names of the guarantees that the scenario expects to be violated.
  std::set<std::string> expected_violations;
  ScenarioResult result;
};

/// Registers the scenario functions as globals of a Lua state. `state` must
/// outlive the Lua state.
void RegisterScenarioFunctions(lua_State* lua, ScenarioState& state);

/// Returns the script name and line being executed, as a prefix for messages.
std::string ScriptLocation(lua_State* lua);

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_SCENARIO_STATE_H_

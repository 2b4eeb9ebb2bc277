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

/// One message that a scenario loses on purpose.
struct DropRule {
  InstanceName from;
  InstanceName to;
  /// Index in wire::Message; all kinds when negative.
  int kind = -1;
  uint32_t remaining = 0;
};

/// What the functions of one running scenario share.
struct ScenarioState {
  const ScenarioSettings* settings = nullptr;
  TestbedSettings testbed_settings;
  std::unique_ptr<Testbed> testbed;
  Duration run_time = std::chrono::milliseconds(200);
  std::vector<DropRule> drop_rules;
  /// Promises that the scenario expects to be broken.
  std::set<std::string> expected_violations;
  ScenarioResult result;
};

/// Makes the functions of scenarios known to a Lua state.
void RegisterScenarioFunctions(lua_State* lua, ScenarioState& state);

/// The present line of the script, for messages.
std::string ScriptLocation(lua_State* lua);

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_SCENARIO_STATE_H_

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include "filbertwick/harness/scenario_runner.h"

namespace {

using filbertwick::harness::ScenarioResult;
using filbertwick::harness::ScenarioRunner;
using filbertwick::harness::ScenarioSettings;

/// Path of one scenario. A fixed-size buffer, since Criterion passes parameters
/// to the processes of the tests as plain bytes.
struct ScenarioPath {
  char text[256];
};

}  // namespace

ParameterizedTestParameters(scenarios, all_promises_hold) {
  std::vector<std::string> paths;
  for (const auto& it : std::filesystem::directory_iterator("scenarios")) {
    if (it.path().extension() == ".lua") {
      paths.push_back(it.path().string());
    }
  }
  std::ranges::sort(paths);
  // Criterion requires that parameters are allocated with its own allocator.
  auto* parameters =
      static_cast<ScenarioPath*>(cr_calloc(paths.size(), sizeof(ScenarioPath)));
  for (size_t n = 0; n < paths.size(); ++n) {
    paths[n].copy(parameters[n].text, sizeof(parameters[n].text) - 1);
  }
  return cr_make_param_array(ScenarioPath, parameters, paths.size());
}

ParameterizedTest(ScenarioPath* path, scenarios, all_promises_hold) {
  ScenarioRunner runner{ScenarioSettings()};
  const ScenarioResult result = runner.RunFile(path->text);
  std::string text;
  for (const std::string& failure : result.failures) {
    text += "\n  " + failure;
  }
  cr_assert(result.passed(), "%s:%s", path->text, text.c_str());
}

Test(scenarios, a_seed_repeats_to_the_byte) {
  ScenarioRunner runner{ScenarioSettings()};
  const char* path = "scenarios/owner_dies.lua";
  cr_assert_eq(runner.RunFile(path).hash, runner.RunFile(path).hash);
}

Test(scenarios, failed_expectations_and_errors_are_told) {
  ScenarioRunner runner{ScenarioSettings()};
  cr_assert_not(runner.RunText("a", "expect(false, 'x')").passed());
  cr_assert_not(runner.RunText("b", "no_such_function()").passed());
  cr_assert_not(runner.RunText("c", "expect_violation('x')").passed());
  cr_assert_not(runner.RunText("d", "").passed());
  cr_assert(runner.RunText("e", "expect(true)").passed());
}

#include "filbertwick/harness/scenario_runner.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <lua.hpp>
#include <set>
#include <utility>

#include "filbertwick/harness/scenario_state.h"

namespace filbertwick::harness {
namespace {

/// Deleter of std::unique_ptr<lua_State>.
struct LuaCloser {
  void operator()(lua_State* lua) const { lua_close(lua); }
};

/// Adds the error of a failed Lua call, which names the script line, to the
/// failures and pops it from the Lua stack.
void RecordError(lua_State* lua, ScenarioResult& result) {
  const char* text = lua_tostring(lua, -1);
  result.failures.emplace_back(text ? text : "script error without a message");
  lua_pop(lua, 1);
}

/// Adds every unexpected violation to the failures, and every expected
/// violation that did not occur.
void RecordViolations(ScenarioState& state) {
  std::set<std::string> missing = state.expected_violations;
  if (state.testbed) {
    state.result.hash = state.testbed->world().hash();
    for (const Violation& it : state.testbed->observer().violations()) {
      if (state.expected_violations.contains(it.guarantee)) {
        missing.erase(it.guarantee);
        continue;
      }
      state.result.failures.push_back(fmt::format(
          "{:.3f}s {}: {}", static_cast<double>(it.when.count()) / 1e6,
          it.guarantee, it.text));
    }
  }
  for (const std::string& guarantee : missing) {
    state.result.failures.push_back(fmt::format(
        "expected a violation of {}, but there was none", guarantee));
  }
}

}  // namespace

ScenarioRunner::ScenarioRunner(ScenarioSettings settings)
    : settings_(std::move(settings)) {}
ScenarioRunner::~ScenarioRunner() = default;

ScenarioResult ScenarioRunner::RunFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    ScenarioResult result;
    result.failures.push_back(fmt::format("{} cannot be read", path));
    return result;
  }
  const std::string text((std::istreambuf_iterator<char>(file)),
                         std::istreambuf_iterator<char>());
  return RunText(path, text);
}

ScenarioResult ScenarioRunner::RunText(const std::string& name,
                                       const std::string& text) {
  ScenarioState state;
  state.settings = &settings_;
  const std::unique_ptr<lua_State, LuaCloser> lua(luaL_newstate());
  luaL_requiref(lua.get(), "_G", luaopen_base, 1);
  luaL_requiref(lua.get(), LUA_TABLIBNAME, luaopen_table, 1);
  luaL_requiref(lua.get(), LUA_STRLIBNAME, luaopen_string, 1);
  luaL_requiref(lua.get(), LUA_MATHLIBNAME, luaopen_math, 1);
  lua_settop(lua.get(), 0);
  RegisterScenarioFunctions(lua.get(), state);
  const std::string chunk = "@" + name;
  const bool failed = luaL_loadbuffer(lua.get(), text.data(), text.size(),
                                      chunk.c_str()) != LUA_OK ||
                      lua_pcall(lua.get(), 0, 0, 0) != LUA_OK;
  if (failed) {
    RecordError(lua.get(), state.result);
  }
  RecordViolations(state);
  return std::move(state.result);
}

}  // namespace filbertwick::harness

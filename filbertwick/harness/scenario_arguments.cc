#include "filbertwick/harness/scenario_arguments.h"

namespace filbertwick::harness {
namespace {

constexpr int kMicrosPerMilli = 1'000;

}  // namespace

ScenarioState& State(lua_State* lua) {
  return *static_cast<ScenarioState*>(lua_touserdata(lua, lua_upvalueindex(1)));
}

Testbed& RequireTestbed(lua_State* lua) {
  ScenarioState& state = State(lua);
  if (!state.testbed) {
    luaL_error(lua, "call deployment() first");
  }
  return *state.testbed;
}

Duration Millis(lua_Number millis) {
  return Duration(static_cast<int64_t>(millis * kMicrosPerMilli));
}

void PushMillis(lua_State* lua, Duration duration) {
  lua_pushnumber(lua,
                 static_cast<lua_Number>(duration.count()) / kMicrosPerMilli);
}

InstanceName ArgInstance(lua_State* lua, int n) {
  InstanceName name(luaL_checkstring(lua, n));
  if (!RequireTestbed(lua).world().settings().deployment.Find(name)) {
    luaL_error(lua, "there is no instance %s", name.value().c_str());
  }
  return name;
}

InstanceName ArgOptionalInstance(lua_State* lua, int n) {
  return lua_isnoneornil(lua, n) ? InstanceName() : ArgInstance(lua, n);
}

size_t ArgJob(lua_State* lua, int n) {
  const auto job = static_cast<size_t>(luaL_checkinteger(lua, n));
  if (job >= RequireTestbed(lua).callers().size()) {
    luaL_error(lua, "there is no job with this number");
  }
  return job;
}

lua_Number FieldNumber(lua_State* lua,
                       int n,
                       const char* key,
                       lua_Number fallback) {
  if (!lua_istable(lua, n)) {
    return fallback;
  }
  lua_getfield(lua, n, key);
  const lua_Number value = luaL_optnumber(lua, -1, fallback);
  lua_pop(lua, 1);
  return value;
}

std::string FieldText(lua_State* lua,
                      int n,
                      const char* key,
                      const char* fallback) {
  if (!lua_istable(lua, n)) {
    return fallback;
  }
  lua_getfield(lua, n, key);
  std::string value = luaL_optstring(lua, -1, fallback);
  lua_pop(lua, 1);
  return value;
}

bool FieldBoolean(lua_State* lua, int n, const char* key) {
  if (!lua_istable(lua, n)) {
    return false;
  }
  lua_getfield(lua, n, key);
  const bool value = lua_toboolean(lua, -1) != 0;
  lua_pop(lua, 1);
  return value;
}

void SetField(lua_State* lua, const char* key, const std::string& value) {
  lua_pushstring(lua, value.c_str());
  lua_setfield(lua, -2, key);
}

void SetField(lua_State* lua, const char* key, Duration value) {
  PushMillis(lua, value);
  lua_setfield(lua, -2, key);
}

void SetFlag(lua_State* lua, const char* key, bool value) {
  lua_pushboolean(lua, value ? 1 : 0);
  lua_setfield(lua, -2, key);
}

void SetNumber(lua_State* lua, const char* key, uint64_t value) {
  lua_pushinteger(lua, static_cast<lua_Integer>(value));
  lua_setfield(lua, -2, key);
}

}  // namespace filbertwick::harness

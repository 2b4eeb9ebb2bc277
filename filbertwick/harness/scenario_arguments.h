#ifndef FILBERTWICK_HARNESS_SCENARIO_ARGUMENTS_H_
#define FILBERTWICK_HARNESS_SCENARIO_ARGUMENTS_H_

#include <cstdint>
#include <string>

#include "filbertwick/harness/scenario_state.h"

namespace filbertwick::harness {

// Arguments and results of the functions that scenarios call. An argument of a
// wrong type raises a script error.

/// The state of the scenario that calls the function.
ScenarioState& State(lua_State* lua);
/// The deployment of the scenario; raises a script error before deployment().
Testbed& RequireTestbed(lua_State* lua);

Duration Millis(lua_Number millis);
/// Pushes a duration in milliseconds.
void PushMillis(lua_State* lua, Duration duration);

/// Returns the instance named by argument `n`; raises a script error if the
/// deployment has no such instance.
InstanceName ArgInstance(lua_State* lua, int n);
/// As ArgInstance(), but returns an empty name if the argument is absent.
InstanceName ArgOptionalInstance(lua_State* lua, int n);
/// Returns the job number in argument `n`; raises a script error if there is no
/// such job.
size_t ArgJob(lua_State* lua, int n);

/// Returns a field of the table argument `n`, or `fallback` if the field or the
/// table is absent.
lua_Number FieldNumber(lua_State* lua,
                       int n,
                       const char* key,
                       lua_Number fallback);
std::string FieldText(lua_State* lua,
                      int n,
                      const char* key,
                      const char* fallback);
/// Returns a field of the table argument `n`; false if it is absent.
bool FieldBoolean(lua_State* lua, int n, const char* key);

// Each sets a field of the table on top of the stack.
void SetField(lua_State* lua, const char* key, const std::string& value);
void SetField(lua_State* lua, const char* key, Duration value);
void SetFlag(lua_State* lua, const char* key, bool value);
void SetNumber(lua_State* lua, const char* key, uint64_t value);

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_SCENARIO_ARGUMENTS_H_

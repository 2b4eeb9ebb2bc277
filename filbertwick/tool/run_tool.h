#ifndef FILBERTWICK_TOOL_RUN_TOOL_H_
#define FILBERTWICK_TOOL_RUN_TOOL_H_

#include <span>
#include <string>

#include "filbertwick/tool/environment.h"
#include "filbertwick/tool/exit_code.h"

namespace filbertwick::tool {

/// Runs one command line; `args` does not include the program name.
ExitCode RunTool(std::span<const std::string> args,
                 const Environment& environment);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_RUN_TOOL_H_

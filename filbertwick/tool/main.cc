#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include "filbertwick/tool/environment.h"
#include "filbertwick/tool/exit_code.h"
#include "filbertwick/tool/run_tool.h"

int main(int argc, char** argv) {
  using filbertwick::tool::ExitCode;
  try {
    const std::vector<std::string> args(argv + (argc > 0 ? 1 : 0), argv + argc);
    return static_cast<int>(filbertwick::tool::RunTool(
        args, filbertwick::tool::SystemEnvironment()));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "tool: %s\n", error.what());
    return static_cast<int>(ExitCode::kFailed);
  }
}

#ifndef FILBERTWICK_TOOL_EXIT_CODE_H_
#define FILBERTWICK_TOOL_EXIT_CODE_H_

namespace filbertwick::tool {

/// How a subcommand ended; the exit code of the program.
enum class ExitCode : int {
  kOk = 0,
  /// It was done but the outcome is not the wanted one.
  kFailed = 1,
  /// Wrong options, or a file with findings.
  kUsage = 2,
  /// Another change came first, or the system refused.
  kRefused = 3,
  /// No entry answered; the change may have been made.
  kUnreachable = 4,
};

/// The table of exit codes that every help text ends with.
inline constexpr char kExitCodeHelp[] =
    "Exit codes:\n"
    "  0  done\n"
    "  1  done, but with a failed, incomplete or late outcome\n"
    "  2  wrong options, or a file with findings\n"
    "  3  refused, or another change came first\n"
    "  4  no entry answered; a change may have been made, repeat it with the\n"
    "     same --change\n";

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_EXIT_CODE_H_

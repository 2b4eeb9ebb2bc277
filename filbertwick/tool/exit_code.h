#ifndef FILBERTWICK_TOOL_EXIT_CODE_H_
#define FILBERTWICK_TOOL_EXIT_CODE_H_

namespace filbertwick::tool {

/// Result of a subcommand and exit code of the program.
enum class ExitCode : int {
  kOk = 0,
  /// The subcommand ran, but its outcome is failed, incomplete or late, or
  /// `check` found warnings that are not accepted.
  kFailed = 1,
  /// The options are wrong, or a file has findings.
  kUsage = 2,
  /// The change or job was refused, for example because another change was
  /// accepted first.
  kRefused = 3,
  /// No entry responded; a change may have been made all the same.
  kUnreachable = 4,
};

/// Table of exit codes at the end of every help text.
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

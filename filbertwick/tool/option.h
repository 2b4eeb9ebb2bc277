#ifndef FILBERTWICK_TOOL_OPTION_H_
#define FILBERTWICK_TOOL_OPTION_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/time.h"

namespace filbertwick::tool {

/// One long option of a subcommand.
struct Option {
  /// Name without dashes.
  std::string name;
  /// Placeholder of the value in the help, such as `FILE`; empty for a flag.
  std::string value_name;
  std::string help;
  /// Parses and stores the value; returns false when it is invalid.
  std::function<bool(std::string_view)> parse;
};

// Each function returns an option that writes to `target`, which must outlive
// it.

/// Flag without a value; sets `target` to true.
Option FlagOption(std::string name, std::string help, bool& target);
/// Text; an empty one is rejected.
Option TextOption(std::string name,
                  std::string value_name,
                  std::string help,
                  std::string& target);
/// Integer from `min` to `max`, both included.
Option NumberOption(std::string name,
                    std::string help,
                    uint64_t min,
                    uint64_t max,
                    uint64_t& target);
/// Duration in milliseconds, from 1 ms to one day.
Option MillisOption(std::string name, std::string help, Duration& target);

/// Operands of a command line, and whether it has `--help` or `--version`.
struct ParsedOptions {
  std::vector<std::string> operands;
  bool help = false;
  bool version = false;
};

/// Parses a command line with getopt_long; `args` does not include the program
/// name. Options and operands may be mixed; `--help` and `--version` are always
/// accepted. Returns InvalidArgument with the name of an option that is
/// unknown, lacks its value or has an invalid value. Not thread-safe, since
/// getopt_long keeps global state.
absl::StatusOr<ParsedOptions> ParseOptions(std::span<const Option> options,
                                           std::span<const std::string> args);

/// Formats the options for the help text, one aligned line for each.
std::string FormatOptions(std::span<const Option> options);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_OPTION_H_

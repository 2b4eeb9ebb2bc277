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
  /// What the help calls its value; empty for a flag.
  std::string value_name;
  std::string help;
  /// Takes the value; false when it is wrong.
  std::function<bool(std::string_view)> parse;
};

/// A flag that sets `target`.
Option FlagOption(std::string name, std::string help, bool& target);
/// A text that is not empty.
Option TextOption(std::string name,
                  std::string value_name,
                  std::string help,
                  std::string& target);
/// A whole number from `min` to `max`.
Option NumberOption(std::string name,
                    std::string help,
                    uint64_t min,
                    uint64_t max,
                    uint64_t& target);
/// A number of milliseconds, 1 or more.
Option MillisOption(std::string name, std::string help, Duration& target);

/// What a command line asks for besides its options.
struct ParsedOptions {
  std::vector<std::string> operands;
  bool help = false;
  bool version = false;
};

/// Reads a command line with getopt_long; `args` leaves out the program's
/// name. Options and operands may be mixed, `--help` and `--version` are known
/// always. InvalidArgument names the wrong option.
absl::StatusOr<ParsedOptions> ParseOptions(std::span<const Option> options,
                                           std::span<const std::string> args);

/// One aligned line an option.
std::string FormatOptions(std::span<const Option> options);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_OPTION_H_

#ifndef FILBERTWICK_TOOL_COMMAND_H_
#define FILBERTWICK_TOOL_COMMAND_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/tool/environment.h"
#include "filbertwick/tool/exit_code.h"
#include "filbertwick/tool/option.h"

namespace filbertwick::tool {

/// What the help says of a subcommand.
struct CommandInfo {
  /// Name on the command line.
  std::string_view name;
  /// What follows the options, such as `OLD NEW`.
  std::string_view operands;
  /// One line.
  std::string_view summary;
  /// A paragraph or more, each line with its line end.
  std::string_view details;
  size_t min_operands = 0;
  size_t max_operands = 0;
};

/// One subcommand of the tool; used for one run.
class Command {
 public:
  Command() = default;
  Command(const Command&) = delete;
  Command& operator=(const Command&) = delete;
  virtual ~Command() = default;

  /// Its name and help.
  virtual CommandInfo Info() const = 0;
  /// Its options; their values go into this object.
  virtual std::vector<Option> Options() = 0;
  /// Does the work, after the options are read.
  virtual ExitCode Run(std::span<const std::string> operands,
                       const Environment& environment) = 0;
};

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_COMMAND_H_

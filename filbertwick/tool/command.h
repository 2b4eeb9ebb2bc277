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

/// Name, help texts and number of operands of a subcommand.
struct CommandInfo {
  /// Name on the command line.
  std::string_view name;
  /// Operands as the usage line shows them, such as `OLD NEW`.
  std::string_view operands;
  /// One line without a full stop.
  std::string_view summary;
  /// Description of one or more paragraphs; every line ends with a newline.
  std::string_view details;
  size_t min_operands = 0;
  size_t max_operands = 0;
};

/// One subcommand of the command line. An object is used for one run only,
/// since it holds the values of the parsed options.
class Command {
 public:
  Command() = default;
  Command(const Command&) = delete;
  Command& operator=(const Command&) = delete;
  virtual ~Command() = default;

  /// Returns the name, help and operand limits.
  virtual CommandInfo Info() const = 0;
  /// Returns the options. They write their values into this object, which must
  /// outlive them.
  virtual std::vector<Option> Options() = 0;
  /// Executes the subcommand. The options have been parsed and the number of
  /// operands has been checked before.
  virtual ExitCode Run(std::span<const std::string> operands,
                       const Environment& environment) = 0;
};

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_COMMAND_H_

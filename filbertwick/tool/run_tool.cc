#include "filbertwick/tool/run_tool.h"

#include <fmt/format.h>

#include <iterator>
#include <memory>
#include <string_view>
#include <vector>

#include "filbertwick/base/version.h"
#include "filbertwick/tool/command.h"
#include "filbertwick/tool/command_table.h"
#include "filbertwick/tool/option.h"

namespace filbertwick::tool {
namespace {

std::string FormatVersion() {
  return fmt::format("filbertwick {}\n", kVersion);
}

std::string FormatHelp() {
  std::string text =
      "Usage: filbertwick SUBCOMMAND [OPTION]...\n\n"
      "Controls and monitors a deployment of filbertwick.\n\n"
      "Subcommands:\n";
  for (const CommandFactory create : CommandTable()) {
    const auto command = create();
    fmt::format_to(std::back_inserter(text), "  {:<10} {}\n",
                   command->Info().name, command->Info().summary);
  }
  text += "\n`filbertwick SUBCOMMAND --help` describes each of them.\n\n";
  return text + kExitCodeHelp;
}

std::string FormatCommandHelp(const CommandInfo& info,
                              std::span<const Option> options) {
  return fmt::format(
      "Usage: filbertwick {} [OPTION]...{}{}\n\n{}.\n\n{}\nOptions:\n"
      "{}  --help                   show this text\n"
      "  --version                show the version\n\n{}",
      info.name, info.operands.empty() ? "" : " ", info.operands, info.summary,
      info.details, FormatOptions(options), kExitCodeHelp);
}

std::unique_ptr<Command> FindCommand(std::string_view name) {
  for (const CommandFactory create : CommandTable()) {
    auto command = create();
    if (command->Info().name == name) {
      return command;
    }
  }
  return nullptr;
}

ExitCode RunCommand(Command& command,
                    std::span<const std::string> args,
                    const Environment& environment) {
  const CommandInfo info = command.Info();
  const std::vector<Option> options = command.Options();
  const auto parsed = ParseOptions(options, args);
  if (!parsed.ok()) {
    environment.err(fmt::format("{}: {}\n", info.name,
                                std::string(parsed.status().message())));
    return ExitCode::kUsage;
  }
  if (parsed->help) {
    environment.out(FormatCommandHelp(info, options));
    return ExitCode::kOk;
  }
  if (parsed->version) {
    environment.out(FormatVersion());
    return ExitCode::kOk;
  }
  if (parsed->operands.size() < info.min_operands ||
      parsed->operands.size() > info.max_operands) {
    environment.err(fmt::format("{}: usage: filbertwick {} [OPTION]... {}\n",
                                info.name, info.name, info.operands));
    return ExitCode::kUsage;
  }
  return command.Run(parsed->operands, environment);
}

}  // namespace

ExitCode RunTool(std::span<const std::string> args,
                 const Environment& environment) {
  const std::string_view first = args.empty() ? "" : std::string_view(args[0]);
  if (first == "--help" || first == "help") {
    environment.out(FormatHelp());
    return ExitCode::kOk;
  }
  if (first == "--version") {
    environment.out(FormatVersion());
    return ExitCode::kOk;
  }
  const auto command = FindCommand(first);
  if (command == nullptr) {
    environment.err(args.empty()
                        ? FormatHelp()
                        : fmt::format("tool: no subcommand \"{}\", see "
                                      "filbertwick --help\n",
                                      first));
    return ExitCode::kUsage;
  }
  return RunCommand(*command, args.subspan(1), environment);
}

}  // namespace filbertwick::tool

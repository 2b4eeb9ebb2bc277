#ifndef FILBERTWICK_TOOL_COMMAND_TABLE_H_
#define FILBERTWICK_TOOL_COMMAND_TABLE_H_

#include <memory>
#include <span>

#include "filbertwick/tool/command.h"

namespace filbertwick::tool {

// One factory for each subcommand, defined in the source file of the command.
std::unique_ptr<Command> CreateCheckCommand();
std::unique_ptr<Command> CreateDiffCommand();
std::unique_ptr<Command> CreatePublishCommand();
std::unique_ptr<Command> CreateZoneCommand();
std::unique_ptr<Command> CreateStatusCommand();
std::unique_ptr<Command> CreateAuditCommand();
std::unique_ptr<Command> CreateExplainCommand();
std::unique_ptr<Command> CreateSubmitCommand();
std::unique_ptr<Command> CreateDemoCommand();
std::unique_ptr<Command> CreateScenarioCommand();
std::unique_ptr<Command> CreateReplayCommand();

/// Creates a subcommand.
using CommandFactory = std::unique_ptr<Command> (*)();

/// Returns the factories of all subcommands, in the order of the help text.
std::span<const CommandFactory> CommandTable();

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_COMMAND_TABLE_H_

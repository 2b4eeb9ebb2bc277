#include "filbertwick/tool/command_table.h"

namespace filbertwick::tool {

std::span<const CommandFactory> CommandTable() {
  static constexpr CommandFactory kTable[] = {
      &CreateCheckCommand,    &CreateDiffCommand,   &CreatePublishCommand,
      &CreateZoneCommand,     &CreateStatusCommand, &CreateAuditCommand,
      &CreateExplainCommand,  &CreateSubmitCommand, &CreateDemoCommand,
      &CreateScenarioCommand, &CreateReplayCommand,
  };
  return kTable;
}

}  // namespace filbertwick::tool

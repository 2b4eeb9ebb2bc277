#include <memory>

#include "filbertwick/tool/command_table.h"
#include "filbertwick/tool/entry_client.h"
#include "filbertwick/tool/job_target.h"
#include "filbertwick/tool/report.h"

namespace filbertwick::tool {
namespace {

constexpr std::string_view kPrefix = "explain";

/// Tells what was decided about one job.
class ExplainCommand : public Command {
 public:
  CommandInfo Info() const override {
    return {"explain",
            "JOB",
            "tell what was decided about a recent job",
            "One line a step, oldest first.\n",
            1,
            1};
  }

  std::vector<Option> Options() override {
    std::vector<Option> options;
    entry_.AddEntryOptions(options);
    options.push_back(FlagOption("json", "print JSON", json_));
    return options;
  }

  ExitCode Run(std::span<const std::string> operands,
               const Environment& environment) override {
    auto client = EntryClient::Create(entry_, environment);
    if (!client.ok()) {
      return ReportError(environment, kPrefix, client.status());
    }
    const auto body = client->Get(JobTarget(operands[0]) + "/explain");
    if (!body.ok()) {
      return ReportError(environment, kPrefix, body.status());
    }
    const auto lines = ReadExplanation(*body);
    if (!lines.ok()) {
      return ReportError(environment, kPrefix, lines.status());
    }
    if (json_) {
      environment.out(*body + "\n");
      return ExitCode::kOk;
    }
    for (const std::string& line : *lines) {
      environment.out(line + "\n");
    }
    return ExitCode::kOk;
  }

 private:
  EntryOptions entry_;
  bool json_ = false;
};

}  // namespace

std::unique_ptr<Command> CreateExplainCommand() {
  return std::make_unique<ExplainCommand>();
}

}  // namespace filbertwick::tool

#include <absl/status/status.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <utility>

#include "filbertwick/tool/command_table.h"
#include "filbertwick/tool/entry_client.h"
#include "filbertwick/tool/job_target.h"
#include "filbertwick/tool/job_timeline.h"
#include "filbertwick/tool/report.h"

namespace filbertwick::tool {
namespace {

constexpr std::string_view kPrefix = "explain";
/// The job id and up to 1000 log files, one for each instance of a large
/// deployment.
constexpr size_t kMaxLogs = 1001;

/// `explain`: prints the decisions on one job.
class ExplainCommand : public Command {
 public:
  CommandInfo Info() const override {
    return {
        "explain",
        "JOB [LOG...]",
        "explain the decisions on a job",
        "Prints one line for each step, oldest first. Without LOG an entry\n"
        "is asked about a recent job. With LOG the steps are taken from the\n"
        "logs of filbertwick-platform, merged over all instances; - is\n"
        "standard input. Indented lines are events that the instances\n"
        "involved logged meanwhile.\n",
        1,
        kMaxLogs};
  }

  std::vector<Option> Options() override {
    std::vector<Option> options;
    entry_.AddEntryOptions(options);
    options.push_back(FlagOption("json", "print JSON", json_));
    return options;
  }

  ExitCode Run(std::span<const std::string> operands,
               const Environment& environment) override {
    if (operands.size() > 1) {
      return ExplainFromLogs(operands[0], operands.subspan(1), environment);
    }
    auto client = EntryClient::Create(entry_, environment);
    if (!client.ok()) {
      return ReportError(environment, kPrefix, client.status());
    }
    const auto body = client->Get(JobTarget(operands[0]) + "/explain");
    if (!body.ok()) {
      return ReportError(environment, kPrefix, body.status());
    }
    const auto lines = ParseExplanationResponse(*body);
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
  static ExitCode ExplainFromLogs(const std::string& job,
                                  std::span<const std::string> files,
                                  const Environment& environment) {
    std::vector<std::string> lines;
    for (const std::string& file : files) {
      std::ifstream stream(file);
      std::istream& in = file == "-" ? std::cin : stream;
      if (!in) {
        return ReportError(environment, kPrefix,
                           absl::NotFoundError("can't read " + file));
      }
      for (std::string line; std::getline(in, line);) {
        lines.push_back(std::move(line));
      }
    }
    const std::vector<std::string> timeline = FormatJobTimeline(job, lines);
    for (const std::string& line : timeline) {
      environment.out(line + "\n");
    }
    return timeline.empty()
               ? ReportError(
                     environment, kPrefix,
                     absl::NotFoundError("no log line names the job " + job))
               : ExitCode::kOk;
  }

  EntryOptions entry_;
  bool json_ = false;
};

}  // namespace

std::unique_ptr<Command> CreateExplainCommand() {
  return std::make_unique<ExplainCommand>();
}

}  // namespace filbertwick::tool

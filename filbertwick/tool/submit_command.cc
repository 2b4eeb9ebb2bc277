#include <absl/status/status.h>
#include <fmt/format.h>

#include <memory>
#include <utility>

#include "filbertwick/json/text_writer.h"
#include "filbertwick/tool/command_table.h"
#include "filbertwick/tool/entry_client.h"
#include "filbertwick/tool/job_id.h"
#include "filbertwick/tool/job_target.h"
#include "filbertwick/tool/report.h"
#include "filbertwick/wire/job.h"

namespace filbertwick::tool {
namespace {

constexpr std::string_view kPrefix = "submit";
/// Added to the deadline of the job in the HTTP timeout, so that an answer sent
/// at the deadline still arrives.
constexpr Duration kAnswerMargin = std::chrono::seconds(2);

/// `submit`: submits one job and prints its answer.
class SubmitCommand : public Command {
 public:
  CommandInfo Info() const override {
    return {"submit",
            "PAYLOAD...",
            "submit a job with one task for each payload",
            "Prints the answer as JSON. Submitting a job again under its --id "
            "is safe: its tasks\nstart once and the answer is the same. Exit "
            "code 0 for a complete answer, 1 for a\nfailed job, 3 for a "
            "refusal.\n",
            1,
            wire::kMaxTasksPerJob};
  }

  std::vector<Option> Options() override {
    std::vector<Option> options;
    entry_.AddEntryOptions(options);
    options.push_back(
        TextOption("service", "NAME", "service that runs the tasks", service_));
    options.push_back(TextOption("team", "NAME", "team that submits", team_));
    options.push_back(TextOption("id", "ID", "job id, else a new UUID", id_));
    options.push_back(
        MillisOption("deadline-ms", "time to wait for the answer", deadline_));
    return options;
  }

  ExitCode Run(std::span<const std::string> operands,
               const Environment& environment) override {
    if (service_.empty() || team_.empty()) {
      environment.err("submit: --service and --team are required\n");
      return ExitCode::kUsage;
    }
    auto client = EntryClient::Create(entry_, environment);
    if (!client.ok()) {
      return ReportError(environment, kPrefix, client.status());
    }
    if (id_.empty()) {
      id_ = MakeJobId(WallTime::Now(), environment.random(),
                      environment.random());
    }
    const auto response =
        client->Call(MakeRequest(operands), deadline_ + kAnswerMargin);
    if (!response.ok()) {
      environment.err(fmt::format(
          "submit: job {}; submit it again under this --id\n", id_));
      return ReportError(environment, kPrefix, response.status());
    }
    environment.out(response->body + "\n");
    const auto result = ParseJobResponse(response->body);
    if (!result.ok()) {
      return ReportError(environment, kPrefix, result.status());
    }
    if (result->outcome == wire::ToString(wire::JobOutcome::kComplete)) {
      return ExitCode::kOk;
    }
    return result->outcome == wire::ToString(wire::JobOutcome::kFailed)
               ? ExitCode::kFailed
               : ExitCode::kRefused;
  }

 private:
  http::Request MakeRequest(std::span<const std::string> payloads) const {
    json::TextWriter writer;
    writer.BeginObject()
        .Member("service", service_)
        .Member("team", team_)
        .Member("deadline_ms", deadline_ / std::chrono::milliseconds(1))
        .Key("tasks")
        .BeginArray();
    for (const std::string& payload : payloads) {
      writer.Value(payload);
    }
    writer.EndArray().EndObject();
    http::Request request;
    request.method = "PUT";
    request.target = JobTarget(id_);
    request.headers = {{"Content-Type", "application/json"}};
    request.body = writer.Take();
    return request;
  }

  EntryOptions entry_;
  std::string service_;
  std::string team_;
  std::string id_;
  Duration deadline_ = std::chrono::seconds(10);
};

}  // namespace

std::unique_ptr<Command> CreateSubmitCommand() {
  return std::make_unique<SubmitCommand>();
}

}  // namespace filbertwick::tool

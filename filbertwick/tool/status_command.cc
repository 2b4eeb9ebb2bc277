#include <memory>

#include "filbertwick/tool/command_table.h"
#include "filbertwick/tool/entry_client.h"
#include "filbertwick/tool/report.h"
#include "filbertwick/tool/status_table.h"

namespace filbertwick::tool {
namespace {

constexpr std::string_view kPrefix = "status";
/// ANSI escape sequences that move the cursor to the top left corner and clear
/// the screen.
constexpr std::string_view kClearScreen = "\x1b[H\x1b[2J";

/// `status`: shows the state of a deployment as known to one entry.
class StatusCommand : public Command {
 public:
  CommandInfo Info() const override {
    return {"status",
            "",
            "show zones, services and instances",
            "LOAD is running+queued/slots. With --watch it is shown again "
            "until interrupted or\n--count is reached.\n",
            0,
            0};
  }

  std::vector<Option> Options() override {
    std::vector<Option> options;
    entry_.AddEntryOptions(options);
    options.push_back(FlagOption("watch", "show it repeatedly", watch_));
    options.push_back(
        MillisOption("interval-ms", "pause while watching", interval_));
    options.push_back(NumberOption("count", "times to show while watching", 1,
                                   UINT64_MAX, count_));
    options.push_back(FlagOption("json", "print JSON, one line each", json_));
    return options;
  }

  ExitCode Run(std::span<const std::string>,
               const Environment& environment) override {
    auto client = EntryClient::Create(entry_, environment);
    if (!client.ok()) {
      return ReportError(environment, kPrefix, client.status());
    }
    ExitCode code = Show(*client, environment);
    for (uint64_t i = 1; watch_ && i < count_; ++i) {
      environment.sleep(interval_);
      code = Show(*client, environment);
    }
    return code;
  }

 private:
  ExitCode Show(EntryClient& client, const Environment& environment) const {
    const auto body = client.Get("/v1/status");
    if (!body.ok()) {
      return ReportError(environment, kPrefix, body.status());
    }
    const auto status = ParseStatusResponse(*body);
    if (!status.ok()) {
      return ReportError(environment, kPrefix, status.status());
    }
    if (json_) {
      environment.out(*body + "\n");
      return ExitCode::kOk;
    }
    const bool clear = watch_ && environment.is_terminal;
    environment.out(std::string(clear ? kClearScreen : "") +
                    FormatStatusTable(*status));
    return ExitCode::kOk;
  }

  EntryOptions entry_;
  bool watch_ = false;
  Duration interval_ = std::chrono::seconds(1);
  uint64_t count_ = UINT64_MAX;
  bool json_ = false;
};

}  // namespace

std::unique_ptr<Command> CreateStatusCommand() {
  return std::make_unique<StatusCommand>();
}

}  // namespace filbertwick::tool

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <chrono>
#include <memory>

#include "filbertwick/tool/command_table.h"
#include "filbertwick/tool/entry_client.h"
#include "filbertwick/tool/report.h"

namespace filbertwick::tool {
namespace {

constexpr std::string_view kPrefix = "audit";

std::string FormatTime(WallTime time) {
  const std::chrono::sys_time<std::chrono::milliseconds> point(
      std::chrono::milliseconds(time.unix_millis));
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(point)));
}

std::string FormatLine(const core::AuditEffect& line) {
  return fmt::format("{:>8} {} {:<16} {}{} ({})\n", line.offset,
                     FormatTime(line.written), line.author.value(), line.what,
                     line.accepted ? "" : ": refused: " + line.why,
                     line.change.value());
}

/// `audit`: prints accepted and refused changes.
class AuditCommand : public Command {
 public:
  CommandInfo Info() const override {
    return {"audit",
            "",
            "print who changed what, and what was refused",
            "Prints one line for each change: offset, time, author, what was "
            "changed,\nwhether it was refused, and change id.\n",
            0,
            0};
  }

  std::vector<Option> Options() override {
    std::vector<Option> options;
    entry_.AddEntryOptions(options);
    options.push_back(
        NumberOption("since", "first offset to print", 0, UINT64_MAX, since_));
    options.push_back(FlagOption("json", "print JSON", json_));
    return options;
  }

  ExitCode Run(std::span<const std::string>,
               const Environment& environment) override {
    auto client = EntryClient::Create(entry_, environment);
    if (!client.ok()) {
      return ReportError(environment, kPrefix, client.status());
    }
    const auto body = client->Get(fmt::format("/v1/audit?since={}", since_));
    if (!body.ok()) {
      return ReportError(environment, kPrefix, body.status());
    }
    const auto lines = ParseAuditResponse(*body);
    if (!lines.ok()) {
      return ReportError(environment, kPrefix, lines.status());
    }
    if (json_) {
      environment.out(*body + "\n");
      return ExitCode::kOk;
    }
    for (const core::AuditEffect& line : *lines) {
      environment.out(FormatLine(line));
    }
    return ExitCode::kOk;
  }

 private:
  EntryOptions entry_;
  uint64_t since_ = 0;
  bool json_ = false;
};

}  // namespace

std::unique_ptr<Command> CreateAuditCommand() {
  return std::make_unique<AuditCommand>();
}

}  // namespace filbertwick::tool

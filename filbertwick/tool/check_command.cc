#include <fmt/format.h>

#include <memory>
#include <utility>

#include "filbertwick/bundle/change_check.h"
#include "filbertwick/daemon/settings.h"
#include "filbertwick/json/text_writer.h"
#include "filbertwick/tool/bundle_file.h"
#include "filbertwick/tool/command_table.h"
#include "filbertwick/tool/report.h"

namespace filbertwick::tool {
namespace {

/// `check`: checks a bundle or settings file without calling an entry.
class CheckCommand : public Command {
 public:
  CommandInfo Info() const override {
    return {"check",
            "FILE",
            "check a bundle or a settings file",
            "Reports everything that is wrong at once. With --against, also "
            "what replacing\nthat bundle would break. Exit code 2 for "
            "errors, 1 for warnings that\nare not accepted.\n",
            1,
            1};
  }

  std::vector<Option> Options() override {
    return {
        FlagOption("settings", "FILE holds settings of filbertwickd",
                   settings_),
        TextOption("against", "BUNDLE", "bundle that is in force", against_),
        FlagOption("accept-warnings", "don't fail because of warnings",
                   accept_warnings_),
        FlagOption("json", "print JSON", json_)};
  }

  ExitCode Run(std::span<const std::string> operands,
               const Environment& environment) override {
    const Findings findings = settings_
                                  ? daemon::LoadSettings(operands[0]).findings
                                  : CheckBundle(operands[0]);
    Print(findings, environment);
    if (HasErrors(findings)) {
      return ExitCode::kUsage;
    }
    return BlocksChange(findings, accept_warnings_) ? ExitCode::kFailed
                                                    : ExitCode::kOk;
  }

 private:
  Findings CheckBundle(const std::string& path) const {
    BundleFile file = LoadBundleFile(path);
    if (against_.empty() || HasErrors(file.parsed.findings)) {
      return std::move(file.parsed.findings);
    }
    BundleFile in_force = LoadBundleFile(against_);
    if (!in_force.parsed.bundle) {
      return std::move(in_force.parsed.findings);
    }
    return bundle::CheckChange(*in_force.parsed.bundle, path, file.text)
        .findings;
  }

  void Print(const Findings& findings, const Environment& environment) const {
    if (!json_) {
      environment.out(findings.empty() ? "no findings\n"
                                       : FormatFindings(findings));
      return;
    }
    json::TextWriter writer;
    writer.BeginObject()
        .Member("ok", !BlocksChange(findings, accept_warnings_))
        .Key("findings");
    WriteFindings(findings, writer);
    writer.EndObject();
    environment.out(writer.Take() + "\n");
  }

  bool settings_ = false;
  std::string against_;
  bool accept_warnings_ = false;
  bool json_ = false;
};

}  // namespace

std::unique_ptr<Command> CreateCheckCommand() {
  return std::make_unique<CheckCommand>();
}

}  // namespace filbertwick::tool

#include <fmt/format.h>

#include <memory>

#include "filbertwick/bundle/diff.h"
#include "filbertwick/json/text_writer.h"
#include "filbertwick/tool/bundle_file.h"
#include "filbertwick/tool/command_table.h"

namespace filbertwick::tool {
namespace {

/// `diff`: describes the differences between two bundle files.
class DiffCommand : public Command {
 public:
  CommandInfo Info() const override {
    return {"diff",
            "OLD NEW",
            "describe what a new bundle would change",
            "Prints one line for each change.\n",
            2,
            2};
  }

  std::vector<Option> Options() override {
    return {FlagOption("json", "print JSON", json_)};
  }

  ExitCode Run(std::span<const std::string> operands,
               const Environment& environment) override {
    const BundleFile from = LoadBundleFile(operands[0]);
    const BundleFile to = LoadBundleFile(operands[1]);
    if (!from.parsed.bundle || !to.parsed.bundle) {
      environment.err(FormatFindings(from.parsed.findings) +
                      FormatFindings(to.parsed.findings));
      return ExitCode::kUsage;
    }
    const auto lines =
        bundle::DiffBundles(*from.parsed.bundle, *to.parsed.bundle);
    environment.out(json_ ? FormatJson(lines) : FormatText(lines));
    return ExitCode::kOk;
  }

 private:
  static std::string FormatText(const std::vector<std::string>& lines) {
    std::string text;
    for (const std::string& line : lines) {
      text += line + "\n";
    }
    return text.empty() ? "no changes\n" : text;
  }

  static std::string FormatJson(const std::vector<std::string>& lines) {
    json::TextWriter writer;
    writer.BeginObject().Key("changes").BeginArray();
    for (const std::string& line : lines) {
      writer.Value(line);
    }
    writer.EndArray().EndObject();
    return writer.Take() + "\n";
  }

  bool json_ = false;
};

}  // namespace

std::unique_ptr<Command> CreateDiffCommand() {
  return std::make_unique<DiffCommand>();
}

}  // namespace filbertwick::tool

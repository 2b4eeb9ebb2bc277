#include <fmt/format.h>

#include <memory>
#include <string>

#include "filbertwick/harness/scenario_runner.h"
#include "filbertwick/tool/command_table.h"

namespace filbertwick::tool {
namespace {

/// `scenario`: runs scenarios in virtual time within this process.
class ScenarioCommand : public Command {
 public:
  CommandInfo Info() const override {
    return {"scenario",
            "FILE...",
            "run Lua scenarios in virtual time",
            "Drives the real decision code of entries and sidecars through "
            "faults, and checks\nevery promise. Exit code 1 when one is "
            "broken.\n",
            1,
            kMaxFiles};
  }

  std::vector<Option> Options() override {
    return {FlagOption("trace", "print every event and effect", trace_)};
  }

  ExitCode Run(std::span<const std::string> operands,
               const Environment& environment) override {
    harness::ScenarioSettings settings;
    const auto print = [&](const std::string& line) {
      environment.out(line + "\n");
    };
    settings.print = print;
    if (trace_) {
      settings.trace = print;
    }
    harness::ScenarioRunner runner(settings);
    bool passed = true;
    for (const std::string& path : operands) {
      const harness::ScenarioResult result = runner.RunFile(path);
      passed &= result.passed();
      print(fmt::format("{}: {}, {} expectations, hash {:016x}", path,
                        result.passed() ? "holds" : "fails",
                        result.expectations, result.hash));
      for (const std::string& failure : result.failures) {
        print("  " + failure);
      }
    }
    return passed ? ExitCode::kOk : ExitCode::kFailed;
  }

 private:
  static constexpr size_t kMaxFiles = 1'000;
  bool trace_ = false;
};

}  // namespace

std::unique_ptr<Command> CreateScenarioCommand() {
  return std::make_unique<ScenarioCommand>();
}

}  // namespace filbertwick::tool

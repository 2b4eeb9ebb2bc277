#include <fmt/core.h>
#include <getopt.h>

#include <cstdio>
#include <cstdlib>
#include <exception>

#include "filbertwick/platform/platform_settings.h"
#include "filbertwick/platform/process.h"

namespace {

using filbertwick::platform::kSettingsVariable;

constexpr int kCannotStart = 1;
constexpr int kUsage = 2;

constexpr const char* kHelp =
    "usage: filbertwick-platform [--check]\n"
    "\n"
    "Runs one entry or sidecar on the users' platform until SIGTERM or "
    "SIGINT.\n"
    "The variable FILBERTWICK_SETTINGS names the platform's settings file.\n"
    "\n"
    "  -c, --check  check the settings and exit\n"
    "  -h, --help   show this text\n"
    "\n"
    "exit codes:\n"
    "  0  stopped, or the settings are right\n"
    "  1  could not start, such as when a port is taken\n"
    "  2  wrong options or settings\n";

int RunWithOptions(int argc, char** argv) {
  static constexpr option kOptions[] = {
      {"check", no_argument, nullptr, 'c'},
      {"help", no_argument, nullptr, 'h'},
      {nullptr, 0, nullptr, 0},
  };
  bool check = false;
  int letter = 0;
  while ((letter = getopt_long(argc, argv, "ch", kOptions, nullptr)) != -1) {
    if (letter == 'h') {
      fmt::print("{}", kHelp);
      return 0;
    }
    if (letter != 'c') {
      fmt::print(stderr, "{}", kHelp);
      return kUsage;
    }
    check = true;
  }
  const char* path = std::getenv(kSettingsVariable);
  if (optind < argc || path == nullptr) {
    fmt::print(stderr, "{}", kHelp);
    return kUsage;
  }
  return check ? filbertwick::platform::CheckSettings(path)
               : filbertwick::platform::RunProcess(path);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return RunWithOptions(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "platform: %s\n", error.what());
    return kCannotStart;
  }
}

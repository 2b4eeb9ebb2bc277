#include <fmt/core.h>
#include <getopt.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <string>
#include <utility>

#include "filbertwick/base/allocator.h"
#include "filbertwick/daemon/daemon.h"
#include "filbertwick/daemon/settings.h"

namespace {

using filbertwick::daemon::Daemon;
using filbertwick::daemon::Settings;

constexpr const char* kVersion = "0.1.0";

/// Exit codes, as listed by `--help`.
enum ExitCode : int {
  kOk = 0,
  /// Startup failed, for example because a port can't be bound.
  kCannotStart = 1,
  /// Invalid options or settings.
  kUsage = 2,
  /// The stop deadline passed with work unfinished.
  kUnclean = 3,
  /// A second signal ended the graceful stop.
  kForced = 4,
};

constexpr const char* kHelp =
    "usage: filbertwickd --settings FILE [--check]\n"
    "\n"
    "Runs one entry or sidecar until SIGTERM or SIGINT, then stops "
    "gracefully.\n"
    "\n"
    "  -s, --settings FILE  settings, JSON with comments\n"
    "  -c, --check          check the settings and exit\n"
    "  -h, --help           show this text\n"
    "  -V, --version        show the version\n"
    "\n"
    "exit codes:\n"
    "  0  stopped with all work ended, or the settings are valid\n"
    "  1  could not start, such as when a port is taken\n"
    "  2  invalid options or settings\n"
    "  3  the stop deadline passed; unfinished work was answered with what "
    "is known\n"
    "  4  a second signal ended the graceful stop\n";

/// Parsed command line.
struct Options {
  std::string settings;
  bool check = false;
  bool help = false;
  bool version = false;
  bool invalid = false;
};

Options ParseOptions(int argc, char** argv) {
  static constexpr option kOptions[] = {
      {"settings", required_argument, nullptr, 's'},
      {"check", no_argument, nullptr, 'c'},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'V'},
      {nullptr, 0, nullptr, 0},
  };
  Options options;
  int option_character = 0;
  while ((option_character =
              getopt_long(argc, argv, "s:chV", kOptions, nullptr)) != -1) {
    switch (option_character) {
      case 's':
        options.settings = optarg;
        break;
      case 'c':
        options.check = true;
        break;
      case 'h':
        options.help = true;
        break;
      case 'V':
        options.version = true;
        break;
      default:
        options.invalid = true;
    }
  }
  options.invalid |= optind < argc;
  return options;
}

/// Runs the daemon until a graceful stop has ended or a second signal arrives;
/// returns the exit code.
int Run(Settings settings) {
  filbertwick::ReturnLargeBlocksWhenFreed();
  boost::asio::io_context context(1);
  // Returned if a second signal stops `context` before the hook below has run.
  int code = kForced;
  auto daemon = Daemon::Create(
      std::move(settings), filbertwick::StandardErrorSink(), [&](bool clean) {
        boost::asio::post(context, [&, clean] {
          code = clean ? kOk : kUnclean;
          context.stop();
        });
      });
  if (!daemon.ok()) {
    fmt::print(stderr, "daemon: {}\n", daemon.status().ToString());
    return kCannotStart;
  }
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) {
    (*daemon)->Stop();
    signals.async_wait([&](boost::system::error_code ec, int) {
      if (!ec) {
        context.stop();
      }
    });
  });
  context.run();
  return code;
}

int RunWithOptions(const Options& options) {
  if (options.help) {
    fmt::print("{}", kHelp);
    return kOk;
  }
  if (options.version) {
    fmt::print("filbertwickd {}\n", kVersion);
    return kOk;
  }
  if (options.invalid || options.settings.empty()) {
    fmt::print(stderr, "{}", kHelp);
    return kUsage;
  }
  auto parsed = filbertwick::daemon::LoadSettings(options.settings);
  fmt::print(stderr, "{}", filbertwick::FormatFindings(parsed.findings));
  if (!parsed.settings) {
    return kUsage;
  }
  return options.check ? kOk : Run(*std::move(parsed.settings));
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return RunWithOptions(ParseOptions(argc, argv));
  } catch (const std::exception& error) {
    std::fprintf(stderr, "daemon: %s\n", error.what());
    return kCannotStart;
  }
}

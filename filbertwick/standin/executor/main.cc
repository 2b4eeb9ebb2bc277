#include <fmt/core.h>
#include <getopt.h>

#include <array>
#include <cstdlib>
#include <exception>

#include "filbertwick/http/target.h"
#include "filbertwick/standin/executor.h"
#include "filbertwick/standin/run.h"

namespace {

constexpr int kUsageError = 2;
constexpr const char* kHelp =
    "usage: standin_executor [--port N] [--sidecar-port N] [--slots N]\n"
    "Stand-in for an upstream on loopback, for tests only. Prints its port,\n"
    "announces itself to the sidecar and runs until SIGTERM or SIGINT.\n";

int Run(int argc, char** argv) {
  const std::array<option, 5> options = {
      {{"port", required_argument, nullptr, 'p'},
       {"sidecar-port", required_argument, nullptr, 's'},
       {"slots", required_argument, nullptr, 'n'},
       {"help", no_argument, nullptr, 'h'},
       {nullptr, 0, nullptr, 0}}};
  filbertwick::standin::ExecutorSettings settings;
  for (int it = 0; (it = getopt_long(argc, argv, "p:s:n:h", options.data(),
                                     nullptr)) != -1;) {
    if (it == 'h') {
      fmt::print("{}", kHelp);
      return EXIT_SUCCESS;
    }
    const auto number =
        filbertwick::http::ParseNumber(optarg ? optarg : "").value_or(0);
    if (it == 'p') {
      settings.port = static_cast<uint16_t>(number);
    } else if (it == 's') {
      settings.sidecar_port = static_cast<uint16_t>(number);
    } else if (it == 'n' && number > 0) {
      settings.slots = static_cast<uint32_t>(number);
    } else {
      fmt::print(stderr, "{}", kHelp);
      return kUsageError;
    }
  }
  boost::asio::io_context context(1);
  const auto executor =
      filbertwick::standin::Executor::Create(context, settings);
  if (!executor.ok()) {
    fmt::print(stderr, "standin_executor: {}\n", executor.status().ToString());
    return EXIT_FAILURE;
  }
  filbertwick::standin::RunUntilSignal(context, (*executor)->port());
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::fputs(error.what(), stderr);
    return EXIT_FAILURE;
  }
}

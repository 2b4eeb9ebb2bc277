#include <fmt/core.h>
#include <getopt.h>

#include <array>
#include <cstdlib>
#include <exception>

#include "filbertwick/http/target.h"
#include "filbertwick/standin/log_service.h"
#include "filbertwick/standin/run.h"

namespace {

constexpr int kUsageError = 2;
constexpr const char* kHelp =
    "usage: standin_log [--port N]\n"
    "Stand-in for the platform's log service, for tests only. Keeps all\n"
    "records in memory, prints its port and runs until SIGTERM or SIGINT.\n";

int Run(int argc, char** argv) {
  const std::array<option, 3> options = {
      {{"port", required_argument, nullptr, 'p'},
       {"help", no_argument, nullptr, 'h'},
       {nullptr, 0, nullptr, 0}}};
  filbertwick::standin::LogServiceSettings settings;
  for (int it = 0;
       (it = getopt_long(argc, argv, "p:h", options.data(), nullptr)) != -1;) {
    if (it == 'h') {
      fmt::print("{}", kHelp);
      return EXIT_SUCCESS;
    }
    if (it != 'p') {
      fmt::print(stderr, "{}", kHelp);
      return kUsageError;
    }
    settings.port = static_cast<uint16_t>(
        filbertwick::http::ParseNumber(optarg).value_or(0));
  }
  boost::asio::io_context context(1);
  const auto service =
      filbertwick::standin::LogService::Create(context, settings);
  if (!service.ok()) {
    fmt::print(stderr, "standin_log: {}\n", service.status().ToString());
    return EXIT_FAILURE;
  }
  filbertwick::standin::RunUntilSignal(context, (*service)->port());
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

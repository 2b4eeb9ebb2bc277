#include "filbertwick/tool/environment.h"

#include <fmt/core.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <random>
#include <thread>

namespace filbertwick::tool {
namespace {

void WriteTo(std::FILE* file, std::string_view text) {
  fmt::print(file, "{}", text);
  std::fflush(file);
}

std::string ReadVariable(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? "" : value;
}

uint64_t DrawRandom() {
  static std::random_device device;
  return (static_cast<uint64_t>(device()) << 32) | device();
}

}  // namespace

Environment SystemEnvironment() {
  Environment environment;
  environment.out = [](std::string_view text) { WriteTo(stdout, text); };
  environment.err = [](std::string_view text) { WriteTo(stderr, text); };
  environment.call = &http::CallOnce;
  environment.sleep = [](Duration duration) {
    std::this_thread::sleep_for(duration);
  };
  environment.now = &MonotonicClock::now;
  environment.variable = &ReadVariable;
  environment.random = &DrawRandom;
  environment.is_terminal = ::isatty(STDOUT_FILENO) == 1;
  return environment;
}

}  // namespace filbertwick::tool

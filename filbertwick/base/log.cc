#include "filbertwick/base/log.h"

#include <fmt/core.h>

#include <cstdio>
#include <utility>

namespace filbertwick {

Logger::Logger(std::string_view prefix, LogSink sink)
    : prefix_(prefix), sink_(std::move(sink)) {}

void Logger::Write(std::string_view text) const {
  sink_(prefix_.empty() ? std::string(text)
                        : fmt::format("{}: {}", prefix_, text));
}

LogSink StandardErrorSink() {
  return [](std::string_view line) { fmt::print(stderr, "{}\n", line); };
}

}  // namespace filbertwick

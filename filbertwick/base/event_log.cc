#include "filbertwick/base/event_log.h"

#include <fmt/core.h>
#include <fmt/format.h>

#include <cstdio>
#include <utility>

namespace filbertwick {
namespace {

constexpr Duration kBudgetWindow = std::chrono::seconds(1);

}  // namespace

EventLog::EventLog(std::string instance, LogSink sink)
    : instance_(std::move(instance)), output_(std::move(sink)) {}

void EventLog::Write(const LogLine& line, Instant now, WallTime wall) {
  Budget& budget = budgets_[line.event()];
  if (now - budget.window_start >= kBudgetWindow) {
    budget.window_start = now;
    budget.written = 0;
  }
  if (++budget.written > kLinesPerSecond) {
    ++budget.left_out;
    return;
  }
  const uint64_t left_out = std::exchange(budget.left_out, 0);
  output_.Write(
      "",
      fmt::format("{{\"unix_ms\":{},\"instance\":\"{}\",{}{}}}",
                  wall.unix_millis, instance_,
                  left_out > 0 ? fmt::format("\"left_out\":{},", left_out) : "",
                  line.Members()));
}

LogSink StandardOutputSink() {
  return [](std::string_view line) {
    fmt::print(stdout, "{}\n", line);
    std::fflush(stdout);
  };
}

}  // namespace filbertwick

#include "filbertwick/base/output_loop.h"

#include <fmt/format.h>

#include <utility>

namespace filbertwick {
namespace {

constexpr size_t kMaxQueuedLines = 10'000;
/// Lines may hold texts of clients, so their number alone bounds no memory.
constexpr size_t kMaxQueuedBytes = 4 * 1024 * 1024;
constexpr Duration kMaxWait = std::chrono::seconds(1);

}  // namespace

OutputLoop::OutputLoop(LogSink sink)
    : sink_(std::move(sink)),
      lines_(kMaxQueuedLines),
      thread_([this] { Run(); }) {}

OutputLoop::~OutputLoop() {
  lines_.Close();
  thread_.join();
}

void OutputLoop::Write(const char* prefix, std::string text) {
  const size_t size = text.size();
  if (queued_bytes_.fetch_add(size) + size > kMaxQueuedBytes ||
      !lines_.TryPush({prefix, std::move(text)})) {
    queued_bytes_.fetch_sub(size);
    dropped_.fetch_add(1, std::memory_order_relaxed);
  }
}

void OutputLoop::Run() {
  while (true) {
    const bool closed = lines_.closed();
    const auto lines = lines_.PopAll(MonotonicClock::now() + kMaxWait);
    for (const OutputLine& line : lines) {
      Logger(line.prefix, sink_).Write(line.text);
      queued_bytes_.fetch_sub(line.text.size());
    }
    if (const uint64_t dropped = dropped_.exchange(0); dropped > 0) {
      Logger("output", sink_)
          .Write(fmt::format("{} lines dropped, queue full", dropped));
    }
    if (closed) {
      return;
    }
  }
}

}  // namespace filbertwick

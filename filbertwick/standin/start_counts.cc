#include "filbertwick/standin/start_counts.h"

#include <fmt/format.h>

#include <iterator>

namespace filbertwick::standin {

void StartCounts::Add(const std::string& key) {
  {
    const std::lock_guard lock(mutex_);
    ++starts_;
    if (++counts_[key] == 2) {
      ++tasks_started_twice_;
    }
  }
  started_.notify_all();
}

uint32_t StartCounts::Count(const std::string& key) const {
  const std::lock_guard lock(mutex_);
  const auto it = counts_.find(key);
  return it == counts_.end() ? 0 : it->second;
}

uint64_t StartCounts::starts() const {
  const std::lock_guard lock(mutex_);
  return starts_;
}

bool StartCounts::WaitForStarts(uint64_t n, Duration limit) const {
  std::unique_lock lock(mutex_);
  return started_.wait_for(lock, limit, [&] { return starts_ >= n; });
}

uint64_t StartCounts::tasks_started_twice() const {
  const std::lock_guard lock(mutex_);
  return tasks_started_twice_;
}

std::string StartCounts::Format() const {
  const std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& [key, count] : counts_) {
    fmt::format_to(std::back_inserter(text), "{} {}\n", key, count);
  }
  return text;
}

}  // namespace filbertwick::standin

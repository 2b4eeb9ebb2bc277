#include "filbertwick/base/counters.h"

#include <fmt/format.h>

namespace filbertwick {

Counter& Counters::Get(std::string_view name) {
  std::lock_guard lock(mutex_);
  auto it = counters_.find(name);
  if (it == counters_.end()) {
    it =
        counters_.emplace(std::string(name), std::make_unique<Counter>()).first;
  }
  return *it->second;
}

std::string Counters::Format() const {
  std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& [name, counter] : counters_) {
    fmt::format_to(std::back_inserter(text), "{} {}\n", name, counter->value());
  }
  return text;
}

}  // namespace filbertwick

#include "filbertwick/base/counters.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace filbertwick {
namespace {

/// The value named `name`, created on first use.
template <typename Value>
Value& FindOrCreate(
    std::map<std::string, std::unique_ptr<Value>, std::less<>>& values,
    std::string_view name) {
  auto it = values.find(name);
  if (it == values.end()) {
    it = values.emplace(std::string(name), std::make_unique<Value>()).first;
  }
  return *it->second;
}

}  // namespace

void Histogram::Add(Duration duration) {
  const auto bound = std::ranges::find_if(kBoundsMillis, [&](int64_t millis) {
    return duration <= std::chrono::milliseconds(millis);
  });
  buckets_[static_cast<size_t>(bound - kBoundsMillis.begin())].fetch_add(
      1, std::memory_order_relaxed);
  sum_micros_.fetch_add(duration.count(), std::memory_order_relaxed);
}

void Histogram::AppendTo(std::string_view name, std::string& out) const {
  constexpr double kMillisPerSecond = 1e3;
  constexpr double kMicrosPerSecond = 1e6;
  const auto end = std::back_inserter(out);
  uint64_t count = 0;
  for (size_t n = 0; n < kBoundsMillis.size(); ++n) {
    count += buckets_[n].load(std::memory_order_relaxed);
    fmt::format_to(end, "{}_bucket{{le=\"{}\"}} {}\n", name,
                   static_cast<double>(kBoundsMillis[n]) / kMillisPerSecond,
                   count);
  }
  count += buckets_.back().load(std::memory_order_relaxed);
  const auto sum =
      static_cast<double>(sum_micros_.load(std::memory_order_relaxed));
  fmt::format_to(end, "{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2}\n", name,
                 count, sum / kMicrosPerSecond);
  fmt::format_to(end, "{}_count {}\n", name, count);
}

Counter& Counters::Get(std::string_view name) {
  std::lock_guard lock(mutex_);
  return FindOrCreate(counters_, name);
}

Histogram& Counters::GetHistogram(std::string_view name) {
  std::lock_guard lock(mutex_);
  return FindOrCreate(histograms_, name);
}

std::string Counters::Format() const {
  std::lock_guard lock(mutex_);
  std::string text;
  for (const auto& [name, counter] : counters_) {
    fmt::format_to(std::back_inserter(text), "{} {}\n", name, counter->value());
  }
  for (const auto& [name, histogram] : histograms_) {
    histogram->AppendTo(name, text);
  }
  return text;
}

}  // namespace filbertwick

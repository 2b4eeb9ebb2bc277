#include "filbertwick/core/direct/recent_run_numbers.h"

#include <algorithm>

namespace filbertwick::core::direct {

void RecentRunNumbers::Record(Instant now,
                              std::string_view job,
                              uint64_t next_number) {
  while (!expiries_.empty() && expiries_.front().at <= now) {
    numbers_.erase(expiries_.front().job);
    expiries_.pop_front();
  }
  numbers_[std::string(job)] = AtLeast(job, next_number);
  expiries_.push_back({now + kMemory, std::string(job)});
}

uint64_t RecentRunNumbers::AtLeast(std::string_view job,
                                   uint64_t number) const {
  const auto it = numbers_.find(job);
  return it == numbers_.end() ? number : std::max(number, it->second);
}

}  // namespace filbertwick::core::direct

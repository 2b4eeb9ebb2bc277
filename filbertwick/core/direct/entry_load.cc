#include "filbertwick/core/direct/entry_load.h"

#include <algorithm>
#include <limits>

namespace filbertwick::core::direct {
namespace {

/// Entries whose means differ by less than this factor each serve their own
/// callers: the platform's load balancer spreads connections well enough.
constexpr uint64_t kUnevenFactor = 2;

bool IsUneven(std::span<const EntryMeans> all, uint32_t EntryMeans::*member) {
  uint64_t smallest = std::numeric_limits<uint32_t>::max();
  uint64_t largest = 0;
  for (const EntryMeans& means : all) {
    if (const uint64_t value = means.*member; value > 0) {
      smallest = std::min(smallest, value);
      largest = std::max(largest, value);
    }
  }
  return largest > 0 && largest >= kUnevenFactor * smallest;
}

}  // namespace

bool AreMeansUneven(std::span<const EntryMeans> all) {
  return IsUneven(all, &EntryMeans::processor_millis) ||
         IsUneven(all, &EntryMeans::link_kbytes_per_second);
}

}  // namespace filbertwick::core::direct

#include "filbertwick/core/state/rendezvous.h"

#include <algorithm>
#include <cstdint>

#include "filbertwick/base/hash.h"

namespace filbertwick::core {

std::vector<InstanceName> RendezvousOrder(std::span<const InstanceName> names,
                                          std::string_view key) {
  const uint64_t seed = Hash64(key);
  std::vector<InstanceName> order(names.begin(), names.end());
  const auto weight = [&](const InstanceName& name) {
    return Hash64(name.value(), seed);
  };
  std::ranges::sort(order, [&](const auto& a, const auto& b) {
    const uint64_t weight_a = weight(a);
    const uint64_t weight_b = weight(b);
    return weight_a != weight_b ? weight_a > weight_b : a < b;
  });
  return order;
}

wire::ShardId ShardOf(const JobId& job) {
  return static_cast<wire::ShardId>(Hash64(job.value()) %
                                    wire::kShardsPerRegion);
}

}  // namespace filbertwick::core

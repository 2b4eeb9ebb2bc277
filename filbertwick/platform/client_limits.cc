#include "filbertwick/platform/client_limits.h"

#include <algorithm>

namespace filbertwick::platform {
namespace {

constexpr size_t kMegabyte = 1024 * 1024;
constexpr size_t kOwnMemoryMb = 16;
constexpr size_t kMinClientMemoryMb = 4;

}  // namespace

ClientLimits DeriveClientLimits(const ProcessLimits& limits) {
  ClientLimits derived;
  const size_t own_mb = kOwnMemoryMb + limits.memory_mb / 4;
  const size_t client_bytes =
      std::max(limits.memory_mb, own_mb + kMinClientMemoryMb) * kMegabyte -
      own_mb * kMegabyte;

  // Strings grow by doubling and the allocator keeps some of what is freed, so
  // half as much again is used.
  derived.held_bytes = client_bytes / 3 * 2;
  return derived;
}

}  // namespace filbertwick::platform

#include "filbertwick/platform/client_limits.h"

#include <algorithm>

namespace filbertwick::platform {
namespace {

constexpr size_t kMegabyte = 1024 * 1024;
constexpr size_t kOwnMemoryMb = 16;
constexpr size_t kMinClientMemoryMb = 4;
/// Descriptors that the platform keeps for files.
constexpr size_t kFileDescriptors = 200;
/// Sockets that the process opens itself: listeners, and connections to the
/// store, to the upstream and to other instances.
constexpr size_t kOwnSockets = 64;
constexpr size_t kMinConnections = 16;
/// Most connections from callers, however many descriptors there are.
constexpr size_t kMaxCallerConnections = 3000;
/// The kernel doubles a buffer size that is set, for its own bookkeeping.
constexpr size_t kKernelFactor = 2;
constexpr size_t kMinSocketBufferBytes = 4 * 1024;
constexpr size_t kMaxSocketBufferBytes = 64 * 1024;

}  // namespace

ClientLimits DeriveClientLimits(const ProcessLimits& limits) {
  ClientLimits derived;
  const size_t own_mb = kOwnMemoryMb + limits.memory_mb / 4;
  const size_t client_bytes =
      std::max(limits.memory_mb, own_mb + kMinClientMemoryMb) * kMegabyte -
      own_mb * kMegabyte;

  const size_t reserved_sockets = kFileDescriptors + kOwnSockets;
  const size_t sockets =
      std::max(limits.max_descriptors, reserved_sockets) - reserved_sockets;
  derived.instance_connections = std::max(sockets / 8, kMinConnections);
  derived.other_connections = std::max(sockets / 32, kMinConnections);
  const size_t not_callers =
      derived.instance_connections + 2 * derived.other_connections;
  derived.caller_connections =
      std::clamp(std::max(sockets, not_callers) - not_callers, kMinConnections,
                 kMaxCallerConnections);

  const size_t kernel_bytes = client_bytes / 3;
  const size_t connections = derived.caller_connections + not_callers;
  derived.socket_buffer_bytes =
      std::clamp(kernel_bytes / connections / kKernelFactor,
                 kMinSocketBufferBytes, kMaxSocketBufferBytes);
  // Strings grow by doubling and the allocator keeps some of what is freed, so
  // half as much again is used.
  derived.held_bytes = (client_bytes - kernel_bytes) / 3 * 2;
  return derived;
}

}  // namespace filbertwick::platform

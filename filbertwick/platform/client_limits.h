#ifndef FILBERTWICK_PLATFORM_CLIENT_LIMITS_H_
#define FILBERTWICK_PLATFORM_CLIENT_LIMITS_H_

#include <cstddef>

namespace filbertwick::platform {

/// Limits of a process that the platform enforces.
struct ProcessLimits {
  /// The platform kills a process with more resident memory, in which bytes
  /// count that were received and not yet read (`limits`.`memory-mb`).
  size_t memory_mb = 256;
  /// Descriptors of sockets and files (`limits`.`max-fds`).
  size_t max_descriptors = 4096;
};

/// What clients may make a process hold.
struct ClientLimits {
  /// Limit of core::policy::ClientBudget.
  size_t held_bytes = 0;
  /// Receive and send buffer of each connection in the kernel.
  size_t socket_buffer_bytes = 0;
  /// Connections from callers.
  size_t caller_connections = 0;
  /// Connections from other instances.
  size_t instance_connections = 0;
  /// Connections at each of the other listeners: readiness, metrics, and
  /// announcements of the upstream.
  size_t other_connections = 0;
};

/// Divides the limits of a process. A quarter of the memory and 16 MB are its
/// own; of the rest, a third is for unread bytes in the kernel and two thirds
/// are for the client budget, which counts without what the allocator adds.
ClientLimits DeriveClientLimits(const ProcessLimits& limits);

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_CLIENT_LIMITS_H_

#ifndef FILBERTWICK_PLATFORM_CLIENT_LIMITS_H_
#define FILBERTWICK_PLATFORM_CLIENT_LIMITS_H_

#include <cstddef>

namespace filbertwick::platform {

/// Limits of a process that the platform enforces.
struct ProcessLimits {
  /// The platform kills a process with more resident memory, in which bytes
  /// count that were received and not yet read (`limits`.`memory-mb`).
  size_t memory_mb = 256;
};

/// What clients may make a process hold.
struct ClientLimits {
  /// Limit of core::policy::ClientBudget.
  size_t held_bytes = 0;
};

/// Divides the limits of a process. A quarter of the memory and 16 MB are its
/// own; two thirds of the rest are for the client budget, which counts without
/// what the allocator adds.
ClientLimits DeriveClientLimits(const ProcessLimits& limits);

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_CLIENT_LIMITS_H_

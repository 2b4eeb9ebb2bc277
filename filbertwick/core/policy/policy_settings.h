#ifndef FILBERTWICK_CORE_POLICY_POLICY_SETTINGS_H_
#define FILBERTWICK_CORE_POLICY_POLICY_SETTINGS_H_

#include <cstdint>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"

namespace filbertwick::core::policy {

/// Tunables of the policy; each mechanism can be switched off to measure it.
struct PolicySettings {
  /// Zone of the entry itself, preferred while waits are equal.
  ZoneName own_zone;
  /// Waiting tasks of one entry; more are refused as overloaded.
  uint64_t max_waiting_tasks = 200'000;
  /// Entries that share the upstreams of a service, this one included.
  uint32_t sharing_entries = 1;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_POLICY_SETTINGS_H_

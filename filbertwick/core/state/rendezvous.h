#ifndef FILBERTWICK_CORE_STATE_RENDEZVOUS_H_
#define FILBERTWICK_CORE_STATE_RENDEZVOUS_H_

#include <span>
#include <string_view>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/wire/epoch.h"

namespace filbertwick::core {

/// Orders `names` by their rendezvous (highest random weight) hash for `key`.
/// The first is the preferred one, the others its fallbacks in order. Adding or
/// removing a name doesn't change the relative order of the others.
std::vector<InstanceName> RendezvousOrder(std::span<const InstanceName> names,
                                          std::string_view key);

/// Returns the shard of a job, by a hash of its id.
wire::ShardId ShardOf(const JobId& job);

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_RENDEZVOUS_H_

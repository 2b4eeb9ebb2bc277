#ifndef FILBERTWICK_CORE_STATE_RENDEZVOUS_H_
#define FILBERTWICK_CORE_STATE_RENDEZVOUS_H_

#include <span>
#include <string_view>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/wire/epoch.h"

namespace filbertwick::core {

/// Orders `names` by rendezvous hashing for `key`: the first is the choice,
/// the others follow when it is gone. Adding a name moves nothing else.
std::vector<InstanceName> RendezvousOrder(std::span<const InstanceName> names,
                                          std::string_view key);

/// The shard of a job key.
wire::ShardId ShardOf(const JobId& job);

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_RENDEZVOUS_H_

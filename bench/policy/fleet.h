#ifndef BENCH_POLICY_FLEET_H_
#define BENCH_POLICY_FLEET_H_

#include <string_view>
#include <vector>

#include "bench/policy/figures.h"
#include "bench/policy/workload.h"

namespace filbertwick::bench {

/// Simulates the arrivals in virtual time: entries that dispatch by `policy`,
/// links with latency, and executors with the queue of a sidecar. The policy
/// must be one of PolicyNames().
Figures RunFleet(std::string_view policy,
                 const Deployment& deployment,
                 const std::vector<JobArrival>& jobs,
                 Fault fault,
                 uint64_t seed);

}  // namespace filbertwick::bench

#endif  // BENCH_POLICY_FLEET_H_

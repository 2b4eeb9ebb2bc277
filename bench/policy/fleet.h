#ifndef BENCH_POLICY_FLEET_H_
#define BENCH_POLICY_FLEET_H_

#include <string_view>
#include <vector>

#include "bench/policy/figures.h"
#include "bench/policy/workload.h"

namespace filbertwick::bench {

/// Runs the arrivals through entries that decide by `policy`, links with
/// latency and executors with the queue of a sidecar, in virtual time. The
/// policy must be one of PolicyNames().
Figures RunFleet(std::string_view policy,
                 const Deployment& deployment,
                 const std::vector<JobArrival>& jobs,
                 Fault fault,
                 uint64_t seed);

}  // namespace filbertwick::bench

#endif  // BENCH_POLICY_FLEET_H_

#ifndef BENCH_POLICY_IDEAL_H_
#define BENCH_POLICY_IDEAL_H_

#include <vector>

#include "bench/policy/figures.h"
#include "bench/policy/workload.h"

namespace filbertwick::bench {

/// The all-knowing scheduler: one central queue, no latency, true run times
/// known, the job with the least remaining work first, its longest task first.
/// Knows broken upstreams and leaves them out; refuses nothing but jobs that
/// fail everywhere.
Figures RunIdeal(const Deployment& deployment,
                 const std::vector<JobArrival>& jobs,
                 Fault fault);

}  // namespace filbertwick::bench

#endif  // BENCH_POLICY_IDEAL_H_

#ifndef BENCH_POLICY_IDEAL_H_
#define BENCH_POLICY_IDEAL_H_

#include <vector>

#include "bench/policy/figures.h"
#include "bench/policy/workload.h"

namespace filbertwick::bench {

/// Simulates a clairvoyant scheduler as the reference: one central queue, no
/// latency and known run times; the job with the least remaining work goes
/// first, and its longest task first. It knows broken upstreams and avoids
/// them, and refuses only jobs that fail everywhere.
Figures RunIdeal(const Deployment& deployment,
                 const std::vector<JobArrival>& jobs,
                 Fault fault);

}  // namespace filbertwick::bench

#endif  // BENCH_POLICY_IDEAL_H_

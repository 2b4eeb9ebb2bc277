// Checks the performance targets of the dispatch policy on one small deployment
// with fixed seeds.
#include <criterion/criterion.h>

#include "bench/policy/fleet.h"
#include "bench/policy/ideal.h"

namespace filbertwick::bench {
namespace {

constexpr uint64_t kSeeds = 10;

struct Comparison {
  Figures ideal;
  Figures ours;
};

Comparison RunPolicyAndIdeal(std::string_view policy,
                             double load,
                             Fault fault) {
  const Deployment deployment = *FindDeployment("wiertmistrz");
  Comparison it;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto jobs = MakeArrivals(deployment, load, seed, fault);
    it.ideal.Add(RunIdeal(deployment, jobs, fault));
    it.ours.Add(RunFleet(policy, deployment, jobs, fault, seed));
  }
  return it;
}

double PerTask(uint64_t count, const Figures& figures) {
  return static_cast<double>(count) / static_cast<double>(figures.tasks);
}

Test(bench_policy, slowdown_and_waste_at_70_percent) {
  const Comparison it = RunPolicyAndIdeal("ours", 0.7, Fault::kNone);
  const Summary ideal = Summarize(AllJobs(it.ideal));
  const Summary ours = Summarize(AllJobs(it.ours));
  cr_assert_leq(ours.mean, 1.15 * ideal.mean);
  cr_assert_leq(ours.p99, 1.5 * ideal.p99);
  cr_assert_leq(PerTask(it.ours.wasted, it.ours), 0.05);
  cr_assert_eq(it.ours.complete, it.ours.jobs);
  const Figures proxy =
      RunPolicyAndIdeal("least-outstanding", 0.7, Fault::kNone).ours;
  cr_assert_lt(ours.mean, Summarize(AllJobs(proxy)).mean);
  cr_assert_lt(ours.p99, Summarize(AllJobs(proxy)).p99);
}

Test(bench_policy, zone_outage_keeps_useful_work) {
  const Comparison it = RunPolicyAndIdeal("ours", 0.7, Fault::kZone);
  cr_assert_geq(it.ours.useful_work, 0.98 * it.ideal.useful_work);
  cr_assert_eq(it.ours.failed, 0);
  cr_assert_eq(it.ours.past_deadline, 0);
}

Test(bench_policy, failing_executor_costs_few_tasks) {
  const Comparison it = RunPolicyAndIdeal("ours", 0.7, Fault::kFail);
  cr_assert_leq(it.ours.lost_to_failing, 10 * kSeeds);
}

Test(bench_policy, jobs_failing_everywhere_cause_no_ejection) {
  cr_assert_eq(RunPolicyAndIdeal("ours", 0.7, Fault::kPoison).ours.ejections,
               0);
}

Test(bench_policy, overload_keeps_capacity_and_urgent_jobs) {
  const Comparison it = RunPolicyAndIdeal("ours", 1.2, Fault::kNone);
  cr_assert_geq(it.ours.useful_work, 0.95 * it.ours.capacity);
  cr_assert_leq(it.ours.slowest_refusal.count(), 5000);
  const Figures usual = RunPolicyAndIdeal("ours", 0.7, Fault::kNone).ours;
  cr_assert_leq(Summarize(it.ours.urgent).p99, 2 * Summarize(usual.urgent).p99);
}

Test(bench_policy, same_seed_gives_same_figures) {
  const Figures a = RunPolicyAndIdeal("ours", 0.7, Fault::kBurst).ours;
  const Figures b = RunPolicyAndIdeal("ours", 0.7, Fault::kBurst).ours;
  cr_assert_eq(a.messages, b.messages);
  cr_assert_eq(Summarize(AllJobs(a)).mean, Summarize(AllJobs(b)).mean);
}

}  // namespace
}  // namespace filbertwick::bench

// Each class of the policy alone.
#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <vector>

#include "filbertwick/core/policy/admission_control.h"
#include "filbertwick/core/policy/fair_queue.h"
#include "filbertwick/core/policy/outlier_detector.h"
#include "filbertwick/core/policy/placement_index.h"
#include "filbertwick/core/policy/retry_budget.h"
#include "filbertwick/core/policy/run_time_estimator.h"

namespace filbertwick::core::policy {
namespace {

using bundle::DeadlineClass;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant(seconds(1));

// Adds a job whose tasks of 100 ms all wait.
void AddJob(FairQueue& queue,
            JobHandle job,
            uint32_t tasks,
            TeamId team = 0,
            DeadlineClass deadline_class = DeadlineClass::kBulk,
            Instant arrival = kStart) {
  queue.AddJob(job, {.team = team,
                     .deadline_class = deadline_class,
                     .task_run_time = milliseconds(100),
                     .unfinished = tasks,
                     .arrival = arrival});
  for (uint32_t i = 0; i < tasks; ++i) {
    queue.AddTask({job, i}, false);
  }
}

Test(fair_queue, the_least_remaining_work_goes_first) {
  FairQueue queue{QueueSettings{}};
  AddJob(queue, 1, 9);
  AddJob(queue, 2, 3);
  cr_assert_eq(queue.Peek()->job, 2);
  queue.Update(1, 2, milliseconds(100));
  cr_assert_eq(queue.Peek()->job, 1);
  cr_assert_eq(queue.WorkAhead(DeadlineClass::kBulk, seconds(9)),
               Duration(milliseconds(1200)));
  queue.RemoveJob(1);
  cr_assert_eq(*queue.Pop(), (TaskRef{2, 0}));
  cr_assert(queue.RemoveTask({2, 1}));
  cr_assert_not(queue.RemoveTask({2, 1}));
  queue.AddTask({2, 0}, true);
  cr_assert_eq(*queue.Pop(), (TaskRef{2, 0}));
  cr_assert_eq(*queue.Pop(), (TaskRef{2, 2}));
  cr_assert_eq(queue.size(), 0);
  cr_assert_not(queue.Pop().has_value());
}

Test(fair_queue, a_long_job_does_not_wait_for_ever) {
  FairQueue queue{QueueSettings{}};
  AddJob(queue, 1, 100);
  // 10 s of work against 0.1 s with ageing of a tenth: 99 s of waiting.
  AddJob(queue, 2, 1, 0, DeadlineClass::kBulk, kStart + seconds(98));
  cr_assert_eq(queue.Peek()->job, 2);
  AddJob(queue, 3, 1, 0, DeadlineClass::kBulk, kStart + seconds(101));
  queue.RemoveJob(2);
  cr_assert_eq(queue.Peek()->job, 1);
}

Test(fair_queue, urgent_goes_first_but_bulk_keeps_its_share) {
  FairQueue queue{QueueSettings{.bulk_interval = 10}};
  AddJob(queue, 1, 100);
  AddJob(queue, 2, 100, 0, DeadlineClass::kUrgent);
  int bulk = 0;
  for (int i = 0; i < 100; ++i) {
    bulk += queue.Pop()->job == 1 ? 1 : 0;
  }
  cr_assert_eq(bulk, 10);
  cr_assert_eq(queue.Pop(true)->job, 2);
}

Test(fair_queue, teams_share_by_weight) {
  FairQueue queue{QueueSettings{.fairness_weight = 1e6}};
  queue.SetWeight(1, 3);
  AddJob(queue, 1, 400, 0);
  AddJob(queue, 2, 400, 1);
  int heavy = 0;
  for (int i = 0; i < 400; ++i) {
    heavy += queue.Pop()->job == 2 ? 1 : 0;
  }
  cr_assert_geq(heavy, 299);
  cr_assert_leq(heavy, 301);
  // A team that comes now gets its share from now on, not for the past.
  AddJob(queue, 3, 400, 2);
  int late = 0;
  for (int i = 0; i < 50; ++i) {
    late += queue.Pop()->job == 3 ? 1 : 0;
  }
  cr_assert_geq(late, 9);
  cr_assert_leq(late, 11);
}

UpstreamState MakeState(uint32_t task_count,
                        Duration distance = Duration(500)) {
  return {.distance = distance,
          .slots = 4,
          .task_count = task_count,
          .task_limit = 5,
          .run_time = milliseconds(100),
          .baseline_run_time = milliseconds(100)};
}

Test(placement_index, prefers_free_slots_then_the_shortest_wait) {
  PlacementIndex index(PlacementSettings{}, 1);
  cr_assert_not(index.BestUpstream().has_value());
  index.Set(0, MakeState(4));
  index.Set(1, MakeState(2, milliseconds(2)));
  cr_assert_eq(*index.BestUpstream(), 1);
  cr_assert(index.HasFreeSlot(1));
  cr_assert_eq(index.free_slots(), 2);
  index.Set(1, MakeState(5));
  cr_assert_eq(*index.BestUpstream(), 0);
  // A slow one with a free slot is worse than a short queue.
  UpstreamState slow = MakeState(0);
  slow.run_time = seconds(1);
  index.Set(2, slow);
  cr_assert_eq(*index.BestUpstream(), 0);
  index.Remove(0);
  cr_assert_eq(*index.BestUpstream(), 2);
  index.Remove(2);
  // Full ones are never given.
  cr_assert_not(index.BestUpstream().has_value());
  cr_assert_eq(index.slots(), 4);
}

Test(placement_index, own_zone_only_among_equals_and_ties_by_seed) {
  std::vector<UpstreamId> firsts;
  for (uint64_t seed = 0; seed < 32; ++seed) {
    PlacementIndex index(PlacementSettings{}, seed);
    for (UpstreamId id = 0; id < 8; ++id) {
      index.Set(id, MakeState(1));
    }
    firsts.push_back(*index.BestUpstream());
    UpstreamState own = MakeState(1);
    own.own_zone = true;
    index.Set(9, own);
    cr_assert_eq(*index.BestUpstream(), 9);
    own.task_count = 4;
    index.Set(9, own);
    cr_assert_neq(*index.BestUpstream(), 9);
  }
  std::ranges::sort(firsts);
  const auto same = std::ranges::unique(firsts);
  firsts.erase(same.begin(), same.end());
  cr_assert_geq(firsts.size(), 6);
}

Test(run_time_estimator, follows_the_mean_and_the_quantiles) {
  RunTimeEstimator estimator(milliseconds(300));
  cr_assert_eq(estimator.mean(), Duration(milliseconds(300)));
  for (int i = 1; i <= 1000; ++i) {
    estimator.Add(milliseconds(1 + i * 617 % 1000));
  }
  const auto near = [](Duration it, double millis) {
    return std::abs(static_cast<double>(it.count()) / 1000.0 - millis) <=
           0.11 * millis;
  };
  cr_assert(near(estimator.Quantile(0.5), 500));
  cr_assert(near(estimator.Quantile(0.99), 990));
  cr_assert_gt(estimator.mean(), milliseconds(350));
  cr_assert_lt(estimator.mean(), milliseconds(650));
  for (int i = 0; i < 6000; ++i) {
    estimator.Add(milliseconds(50));
  }
  cr_assert(near(estimator.mean(), 50));
  cr_assert(near(estimator.Quantile(0.5), 50));
}

OutlierDetector MakeOutlierDetector(UpstreamId upstreams) {
  OutlierDetector outlier_detector{EjectionSettings{}};
  for (UpstreamId id = 0; id < upstreams; ++id) {
    outlier_detector.Add(id);
  }
  return outlier_detector;
}

Test(outlier_detector, sets_aside_one_that_fails_everything_and_probes_it) {
  OutlierDetector outlier_detector = MakeOutlierDetector(5);
  int failures = 0;
  while (!outlier_detector.IsEjected(0)) {
    outlier_detector.OnSuccess(1 + failures % 4);
    outlier_detector.OnFailure(0, ++failures, kStart);
  }
  cr_assert_eq(failures, 3);
  cr_assert_eq(outlier_detector.TakeChanges().size(), 1);
  cr_assert(outlier_detector.TakeDueProbes(kStart).empty());
  // A probe that fails doubles the time to the next.
  Instant due = outlier_detector.NextProbe();
  cr_assert_eq(outlier_detector.TakeDueProbes(due).size(), 1);
  cr_assert(outlier_detector.IsProbing(0));
  outlier_detector.OnFailure(0, 100, due);
  cr_assert_not(outlier_detector.IsProbing(0));
  cr_assert_eq(outlier_detector.NextProbe() - due, 2 * (due - kStart));
  due = outlier_detector.NextProbe();
  outlier_detector.TakeDueProbes(due);
  outlier_detector.OnSuccess(0);
  cr_assert_not(outlier_detector.IsEjected(0));
  cr_assert_eq(outlier_detector.TakeChanges().size(), 1);
}

Test(outlier_detector, a_job_that_fails_everywhere_ejects_nobody) {
  OutlierDetector outlier_detector = MakeOutlierDetector(5);
  for (JobHandle job = 1; job <= 50; ++job) {
    for (UpstreamId id = 0; id < 5; ++id) {
      outlier_detector.OnFailure(id, job, kStart);
    }
  }
  cr_assert(outlier_detector.TakeChanges().empty());
}

Test(outlier_detector, failures_that_all_upstreams_have_eject_nobody) {
  OutlierDetector outlier_detector = MakeOutlierDetector(5);
  for (JobHandle job = 1; job <= 5000; ++job) {
    const UpstreamId id = job * 7 % 5;
    if (job % 11 == 0) {
      outlier_detector.OnFailure(id, job, kStart);
    } else {
      outlier_detector.OnSuccess(id);
    }
  }
  cr_assert(outlier_detector.TakeChanges().empty());
}

Test(outlier_detector, never_more_than_the_share) {
  OutlierDetector outlier_detector = MakeOutlierDetector(10);
  for (JobHandle job = 0; job < 1000; ++job) {
    outlier_detector.OnFailure(job % 5, job, kStart);
    outlier_detector.OnSuccess(5 + job % 5);
  }
  int ejected = 0;
  for (UpstreamId id = 0; id < 10; ++id) {
    ejected += outlier_detector.IsEjected(id) ? 1 : 0;
  }
  cr_assert_eq(ejected, 2);
  // The only upstream is kept whatever it does.
  OutlierDetector alone = MakeOutlierDetector(1);
  for (JobHandle job = 0; job < 100; ++job) {
    alone.OnFailure(0, job, kStart);
  }
  cr_assert_not(alone.IsEjected(0));
}

Test(retry_budget, allows_a_share_of_first_sends) {
  RetryBudget budget{RetrySettings{.retry_ratio = 0.1, .max_saved = 5}};
  int taken = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt();
    taken += budget.TryTake() ? 1 : 0;
  }
  cr_assert_geq(taken, 100);
  cr_assert_leq(taken, 106);
}

Test(admission_control, refuses_early_what_would_end_too_late) {
  const AdmissionControl control{AdmissionSettings{}};
  AdmissionInput state{.slots = 10,
                       .work_ahead = seconds(10),
                       .task_run_time = milliseconds(100),
                       .waiting = 10,
                       .waiting_limit = 100,
                       .team_unfinished = 0,
                       .team_quota = 50};
  cr_assert_eq(control.Decide(1, seconds(2), state).reason,
               wire::Reason::kNone);
  const Admission late = control.Decide(1, seconds(1), state);
  cr_assert_eq(late.reason, wire::Reason::kOverloaded);
  cr_assert_eq(late.retry_after, Duration(milliseconds(300)));
  cr_assert_eq(control.Decide(51, seconds(60), state).reason,
               wire::Reason::kOverQuota);
  state.waiting = 100;
  cr_assert_eq(control.Decide(1, seconds(60), state).reason,
               wire::Reason::kOverloaded);
  state.slots = 0;
  cr_assert_eq(control.Decide(1, seconds(60), state).reason,
               wire::Reason::kNoUpstream);
}

}  // namespace
}  // namespace filbertwick::core::policy

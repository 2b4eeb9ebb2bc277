#include <criterion/criterion.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "filbertwick/core/direct/control_freshness.h"
#include "filbertwick/core/policy/crash_budget.h"
#include "filbertwick/core/policy/crash_containment.h"
#include "filbertwick/core/policy/resend_timer.h"
#include "filbertwick/core/policy/retry_after_estimator.h"
#include "filbertwick/core/policy/task_placement.h"
#include "filbertwick/core/policy/unanswered_requests.h"
#include "filbertwick/core/policy/waiting_job_queue.h"

namespace {

using filbertwick::Duration;
using filbertwick::InstanceName;
using filbertwick::Instant;
using filbertwick::core::direct::ControlFreshness;
using filbertwick::core::policy::CrashBudget;
using filbertwick::core::policy::CrashContainment;
using filbertwick::core::policy::PlacementCandidate;
using filbertwick::core::policy::PlacementTask;
using filbertwick::core::policy::PlaceTasks;
using filbertwick::core::policy::ResendTimer;
using filbertwick::core::policy::RetryAfterEstimator;
using filbertwick::core::policy::SelectContainmentZone;
using filbertwick::core::policy::UnansweredRequests;
using filbertwick::core::policy::WaitingJobQueue;
using filbertwick::core::policy::ZoneRestriction;

Instant At(int64_t millis) {
  return Instant(std::chrono::milliseconds(millis));
}

PlacementCandidate Candidate(int64_t free_cpu) {
  PlacementCandidate candidate;
  candidate.free = {free_cpu, 1000, 0};
  candidate.capacity = {10'000, 1000, 0};
  return candidate;
}

PlacementTask Task(int64_t cpu) {
  PlacementTask task;
  task.needs.cpu_millis = cpu;
  return task;
}

}  // namespace

Test(waiting_job_queue, orders_by_having_run_then_priority_then_deadline) {
  WaitingJobQueue queue;
  queue.Add({1, 1, false, At(10)});
  queue.Add({2, 0, false, At(90)});
  queue.Add({3, 0, false, At(50)});
  queue.Add({4, 2, true, At(99)});
  const std::vector<uint64_t> expected = {4, 3, 2, 1};
  cr_assert(queue.InPlacementOrder() == expected);
}

Test(waiting_job_queue, returns_expired_jobs_except_those_that_have_run) {
  WaitingJobQueue queue;
  queue.Add({1, 0, false, At(10)});
  queue.Add({2, 0, false, At(30)});
  queue.Add({3, 0, true, At(5)});
  cr_assert(queue.NextExpiry() == At(10));
  cr_assert(queue.TakeExpired(At(20)) == std::vector<uint64_t>{1});
  cr_assert(queue.TakeExpired(At(20)).empty());
  cr_assert_eq(queue.size(), 2);
}

Test(waiting_job_queue, evicts_the_last_job_only_for_a_higher_rank) {
  WaitingJobQueue queue;
  queue.Add({1, 0, false, At(10)});
  queue.Add({2, 2, false, At(10)});
  cr_assert(queue.EvictForNewcomer({3, 2, false, At(20)}) == std::nullopt);
  cr_assert(queue.EvictForNewcomer({3, 1, false, At(20)}) == 2);
  cr_assert_eq(queue.size(), 1);
}

Test(waiting_job_queue, reorders_a_job_that_is_added_again) {
  WaitingJobQueue queue;
  queue.Add({1, 2, false, At(10)});
  queue.Add({2, 1, false, At(10)});
  queue.Add({1, 2, true, At(10)});
  cr_assert_eq(queue.InPlacementOrder().front(), 1);
  cr_assert(queue.NextExpiry() == At(10));
  queue.Remove(2);
  cr_assert(queue.NextExpiry() == Instant::max());
}

// Guards against refused callers that all retry at the same time. Within one
// second three times as many jobs arrive as can be placed.
Test(retry_after_estimator, spreads_the_retries_of_an_overload_over_seconds) {
  RetryAfterEstimator estimator;
  std::set<int64_t> returns;
  for (int n = 0; n < 300; ++n) {
    const Instant now = At(5000 + 3 * n);
    if (n % 3 == 0) {
      estimator.OnJobPlaced(now);
    } else {
      returns.insert(estimator.Refuse(now, "job-" + std::to_string(n)).count());
    }
  }
  cr_assert_geq(returns.size(), 4);
  cr_assert_geq(*returns.begin(), 1);
  cr_assert_leq(*returns.rbegin(), RetryAfterEstimator::kMaxRetryAfter.count());
}

Test(retry_after_estimator, a_single_refusal_is_retried_after_one_second) {
  RetryAfterEstimator estimator;
  for (int n = 0; n < 100; ++n) {
    estimator.OnJobPlaced(At(1000 + n));
  }
  cr_assert_eq(estimator.Refuse(At(1200), "job").count(), 1);
}

// Guards against jobs with many tasks that never get placed, because jobs with
// few tasks take all resources that become free: the tasks that fit must be
// placed at once.
Test(task_placement, places_the_tasks_that_fit_and_reports_the_rest) {
  const std::vector<PlacementTask> tasks(3, Task(4000));
  const std::vector<PlacementCandidate> insufficient = {Candidate(8000),
                                                        Candidate(3000)};
  const auto some = PlaceTasks(tasks, insufficient, 1);
  cr_assert_eq(std::ranges::count(some, std::optional<size_t>(0)), 2);
  cr_assert_not(some[2].has_value());
  const std::vector<PlacementCandidate> sufficient = {Candidate(8000),
                                                      Candidate(4000)};
  const auto places = PlaceTasks(tasks, sufficient, 1);
  cr_assert_eq(std::ranges::count(places, std::optional<size_t>(0)), 2);
  cr_assert_eq(std::ranges::count(places, std::optional<size_t>(1)), 1);
}

Test(task_placement, prefers_fast_upstreams_and_avoids_suspects) {
  std::vector<PlacementCandidate> candidates(3, Candidate(10'000));
  candidates[0].run_time_ratio = 2;
  candidates[1].run_time_ratio = 0.5;
  candidates[1].suspect = true;
  const std::vector<PlacementTask> one = {Task(1000)};
  cr_assert_eq(PlaceTasks(one, candidates, 1).front().value(), 2);
  candidates[2].free.cpu_millis = 0;
  cr_assert_eq(PlaceTasks(one, candidates, 1).front().value(), 0);
  // A task waits rather than being run on an upstream that fails.
  candidates[0].free.cpu_millis = 0;
  cr_assert(PlaceTasks(one, candidates, 1).front() == std::nullopt);
}

// Tasks that fail everywhere make all upstreams suspect.
Test(task_placement, uses_suspects_last_when_most_upstreams_are) {
  std::vector<PlacementCandidate> candidates(3, Candidate(10'000));
  candidates[0].suspect = true;
  candidates[1].suspect = true;
  const std::vector<PlacementTask> one = {Task(1000)};
  cr_assert_eq(PlaceTasks(one, candidates, 1).front().value(), 2);
  candidates[2].free.cpu_millis = 0;
  cr_assert(PlaceTasks(one, candidates, 1).front().has_value());
}

Test(task_placement, does_not_risk_the_last_attempt_on_probation) {
  std::vector<PlacementCandidate> candidates(3, Candidate(10'000));
  candidates[2].free.cpu_millis = 0;
  candidates[0].on_probation = true;
  candidates[1].free.cpu_millis = 0;
  std::vector<PlacementTask> one = {Task(1000)};
  cr_assert_eq(PlaceTasks(one, candidates, 1).front().value(), 0);
  one.front().is_last_attempt = true;
  cr_assert(PlaceTasks(one, candidates, 1).front() == std::nullopt);
  // Otherwise no upstream would ever leave probation.
  candidates[1].on_probation = true;
  candidates[2].on_probation = true;
  cr_assert_eq(PlaceTasks(one, candidates, 1).front().value(), 0);
}

Test(task_placement, respects_labels_racks_and_sibling_limits) {
  const std::vector<std::string> first = {"a", "r1"};
  const std::vector<std::string> second = {"b", "r2"};
  std::vector<PlacementCandidate> candidates(2, Candidate(10'000));
  candidates[0].labels = first;
  candidates[1].labels = second;
  PlacementTask task = Task(1000);
  task.required_label = "b";
  cr_assert_eq(PlaceTasks({{task}}, candidates, 1).front().value(), 1);
  task.required_label = "c";
  cr_assert_not(PlaceTasks({{task}}, candidates, 1).front().has_value());
  task.required_label = "";
  task.data_rack = "r2";
  cr_assert_eq(PlaceTasks({{task}}, candidates, 1).front().value(), 1);
  task.data_rack = "";
  task.max_tasks_per_upstream = 1;
  const std::vector<PlacementTask> three(3, task);
  cr_assert_not(PlaceTasks(three, candidates, 1).back().has_value());
}

Test(task_placement, avoids_the_upstream_of_a_failure_if_possible) {
  std::vector<PlacementCandidate> candidates(2, Candidate(10'000));
  candidates[1].run_time_ratio = 3;
  PlacementTask task = Task(1000);
  task.avoided_candidate = 0;
  cr_assert_eq(PlaceTasks({{task}}, candidates, 1).front().value(), 1);
  candidates[1].free.cpu_millis = 0;
  cr_assert_eq(PlaceTasks({{task}}, candidates, 1).front().value(), 0);
}

// Guards against a hanging upstream that gets all tasks because it is always
// empty.
Test(task_placement, gives_an_upstream_on_probation_one_task) {
  std::vector<PlacementCandidate> candidates(2, Candidate(10'000));
  candidates[0].run_time_ratio = 0.5;
  candidates[0].on_probation = true;
  const std::vector<PlacementTask> three(3, Task(1000));
  const auto places = PlaceTasks(three, candidates, 1);
  cr_assert_eq(std::ranges::count(places, std::optional<size_t>(0)), 1);
  cr_assert_eq(std::ranges::count(places, std::optional<size_t>(1)), 2);
}

Test(resend_timer, resends_only_what_a_peer_that_answers_has_not_received) {
  using Action = ResendTimer::Action;
  ResendTimer timer(At(0));
  cr_assert(timer.ActionAt(At(0), Instant::min()) == Action::kSend);
  timer.Sent(At(0), std::chrono::milliseconds(30));
  cr_assert(timer.ActionAt(At(29), At(20)) == Action::kNone);
  cr_assert(timer.ActionAt(At(30), At(20)) == Action::kSend);
  cr_assert(timer.ActionAt(At(30), At(0)) == Action::kProbe);
  timer.Probed();
  cr_assert(timer.due() == Instant::max());
  cr_assert_not(timer.Answered(At(40), At(0)));
  cr_assert(timer.Answered(At(50), At(30)));
  cr_assert(timer.ActionAt(At(50), At(30)) == Action::kSend);
}

Test(unanswered_requests, an_old_echo_leaves_later_requests_open) {
  UnansweredRequests requests;
  cr_assert(requests.Oldest() == Instant::max());
  for (int64_t millis = 0; millis <= 1000; millis += 10) {
    requests.Sent(At(millis));
  }
  cr_assert(requests.Oldest() == At(0));
  requests.Answered(At(500));
  cr_assert(requests.Oldest() == At(550));
  requests.Answered(At(1000));
  cr_assert(requests.Oldest() == Instant::max());
}

Test(control_freshness, a_copy_of_a_copy_is_no_fresher_than_the_first) {
  ControlFreshness first(std::chrono::milliseconds(2000));
  cr_assert_not(first.IsConfirmed(At(0)));
  first.Confirm(At(1000));
  cr_assert(first.IsConfirmed(At(2999)));
  cr_assert_not(first.IsConfirmed(At(3000)));
  // Fetched at 2500 from an instance that was last confirmed at 1000.
  ControlFreshness second(std::chrono::milliseconds(2000));
  second.Confirm(At(2500) - *first.Age(At(2500)));
  cr_assert_not(second.IsConfirmed(At(3000)));
}

Test(crash_budget, convicts_the_likely_cause_of_two_crashes) {
  CrashBudget alone;
  alone.OnCrash(1);
  cr_assert_not(alone.IsExhausted());
  alone.OnCrash(2);
  cr_assert(alone.IsConvicted());
}

// A task that was started long before two crashes is run again; a third crash
// is the last.
Test(crash_budget, does_not_convict_bystanders) {
  CrashBudget bystander;
  bystander.OnCrash(0);
  bystander.OnCrash(4);
  cr_assert_not(bystander.IsExhausted());
  bystander.OnCrash(0);
  cr_assert_not(bystander.IsConvicted());
  cr_assert(bystander.IsExhausted());
}

Test(crash_containment, confines_a_queue_while_its_tasks_crash_upstreams) {
  CrashContainment containment;
  cr_assert_not(containment.OnCrash(At(0), "a", "q", 1));
  cr_assert(containment.OnCrash(At(600), "a", "q", 1));
  cr_assert(containment.IsConfined(At(5000), "q"));
  cr_assert_not(containment.IsConfined(At(5000), "other"));
  cr_assert_not(containment.OnCrash(At(5000), "b", "q", 2));
  cr_assert(containment.IsConfined(At(9000), "q"));
  cr_assert_not(containment.IsActive(At(10'000)));
}

// Upstreams that go down and up by themselves hit other tasks each time.
Test(crash_containment, does_not_confine_queues_of_upstreams_that_flap) {
  CrashContainment containment;
  for (int n = 0; n < 20; ++n) {
    cr_assert_not(
        containment.OnCrash(At(n * 300), std::to_string(n), "queue", 1));
  }
  cr_assert_not(containment.IsActive(At(6000)));
}

Test(crash_containment, selects_the_same_quarter_of_the_upstreams_everywhere) {
  std::vector<InstanceName> names;
  names.reserve(11);
  for (int n = 0; n < 11; ++n) {
    names.emplace_back("s" + std::to_string(n));
  }
  const auto zone = SelectContainmentZone(names);
  cr_assert_eq(zone.size(), 2);
  std::ranges::reverse(names);
  cr_assert(SelectContainmentZone(names) == zone);
  cr_assert_eq(SelectContainmentZone({names.data(), 1}).size(), 1);
  cr_assert(SelectContainmentZone({}).empty());
}

Test(task_placement, keeps_confined_tasks_inside_the_zone_and_others_outside) {
  std::vector<PlacementCandidate> candidates(2, Candidate(10'000));
  candidates[0].in_zone = true;
  std::vector<PlacementTask> tasks(2, Task(1000));
  tasks[0].zone = ZoneRestriction::kInside;
  tasks[1].zone = ZoneRestriction::kOutside;
  const auto places = PlaceTasks(tasks, candidates, 1);
  cr_assert_eq(*places[0], 0);
  cr_assert_eq(*places[1], 1);
}

Test(task_placement, keeps_suspects_of_crashes_apart) {
  const std::vector<PlacementCandidate> candidates(4, Candidate(10'000));
  std::vector<PlacementTask> tasks(4, Task(1000));
  for (PlacementTask& task : tasks) {
    task.is_crash_suspect = true;
  }
  std::set<size_t> used;
  for (const auto& place : PlaceTasks(tasks, candidates, 1)) {
    used.insert(*place);
  }
  cr_assert_eq(used.size(), 4);
}

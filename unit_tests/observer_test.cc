#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "filbertwick/harness/executor.h"
#include "filbertwick/harness/observer.h"

namespace {

using filbertwick::Duration;
using filbertwick::InstanceName;
using filbertwick::JobId;
using filbertwick::core::ExecutionEndedEvent;
using filbertwick::core::StartExecutionEffect;
using filbertwick::harness::Deployment;
using filbertwick::harness::Executor;
using filbertwick::harness::MakeDeployment;
using filbertwick::harness::Observer;
using filbertwick::harness::ObserverSettings;
using filbertwick::wire::JobAnswer;
using filbertwick::wire::JobOutcome;
using filbertwick::wire::JobSpec;
using filbertwick::wire::TaskOutcome;
using filbertwick::wire::TaskResult;

constexpr Duration kSecond = std::chrono::seconds(1);

/// An observer that has seen request 1, a job of two tasks by default.
struct Case {
  explicit Case(size_t tasks = 2, bool repeatable = false)
      : deployment(MakeDeployment({})) {
    deployment.repeatable = repeatable;
    spec.id = JobId("job");
    for (size_t n = 0; n < tasks; ++n) {
      spec.payloads.push_back("payload-" + std::to_string(n));
    }
    observer.OnRequest(1, spec, kSecond);
  }

  void Start(uint32_t index, const char* sidecar, Duration when) {
    StartExecutionEffect start;
    start.key = {spec.id, index};
    start.payload = spec.payloads.at(index);
    observer.OnStart(InstanceName(sidecar), start, when);
  }

  void End(uint32_t index, const char* sidecar) {
    ExecutionEndedEvent event;
    event.key = {spec.id, index};
    observer.OnEnd(InstanceName(sidecar), event);
  }

  JobAnswer Answer(JobOutcome outcome, std::vector<TaskOutcome> tasks) const {
    JobAnswer answer;
    answer.id = spec.id;
    answer.outcome = outcome;
    for (size_t n = 0; n < tasks.size(); ++n) {
      const bool succeeded = tasks[n] == TaskOutcome::kSucceeded;
      answer.tasks.push_back(
          {tasks[n], succeeded ? Executor::ResultOf(spec.payloads[n]) : ""});
    }
    return answer;
  }

  JobAnswer Refusal(bool not_run) const {
    JobAnswer answer = Answer(JobOutcome::kRefused, {});
    answer.not_run = not_run;
    return answer;
  }

  /// Returns the names of the violated guarantees in order, each followed by a
  /// space.
  std::string Broken() const {
    std::string text;
    for (const auto& it : observer.violations()) {
      text += it.guarantee + " ";
    }
    return text;
  }

  Deployment deployment;
  JobSpec spec;
  Observer observer{deployment, ObserverSettings()};
};

Test(observer, a_good_job_breaks_nothing) {
  Case c;
  c.Start(0, "sidecar-1", kSecond);
  c.Start(1, "sidecar-2", kSecond);
  c.observer.OnAnswer(
      1,
      c.Answer(JobOutcome::kComplete,
               {TaskOutcome::kSucceeded, TaskOutcome::kSucceeded}),
      2 * kSecond);
  cr_assert_eq(c.Broken(), "");
}

Test(observer, a_second_start_is_seen) {
  Case c;
  c.Start(0, "sidecar-1", kSecond);
  c.End(0, "sidecar-1");
  c.Start(0, "sidecar-2", 2 * kSecond);
  cr_assert_eq(c.Broken(), "double_start ");
}

Test(observer, a_repeatable_request_may_start_again_after_its_end) {
  Case ended(1, true);
  ended.Start(0, "sidecar-1", kSecond);
  ended.End(0, "sidecar-1");
  ended.Start(0, "sidecar-2", 2 * kSecond);
  cr_assert_eq(ended.Broken(), "");
  Case running(1, true);
  running.Start(0, "sidecar-1", kSecond);
  running.Start(0, "sidecar-2", 2 * kSecond);
  cr_assert_eq(running.Broken(), "double_start ");
  Case larger(2, true);
  larger.Start(0, "sidecar-1", kSecond);
  larger.End(0, "sidecar-1");
  larger.Start(0, "sidecar-2", 2 * kSecond);
  cr_assert_eq(larger.Broken(), "double_start ");
}

Test(observer, partial_and_foreign_answers_are_seen) {
  Case partial;
  partial.observer.OnAnswer(
      1,
      partial.Answer(JobOutcome::kComplete,
                     {TaskOutcome::kSucceeded, TaskOutcome::kMayHaveRun}),
      kSecond);
  cr_assert_eq(partial.Broken(), "whole_answer ");
  Case shorter;
  shorter.observer.OnAnswer(
      1, shorter.Answer(JobOutcome::kComplete, {TaskOutcome::kSucceeded}),
      kSecond);
  cr_assert_eq(shorter.Broken(), "whole_answer ");
  Case foreign;
  JobAnswer other =
      foreign.Answer(JobOutcome::kComplete,
                     {TaskOutcome::kSucceeded, TaskOutcome::kSucceeded});
  std::swap(other.tasks[0], other.tasks[1]);
  foreign.observer.OnAnswer(1, other, kSecond);
  cr_assert_eq(foreign.Broken(), "own_result own_result ");
  Case crossed;
  JobAnswer wrong = crossed.Refusal(true);
  wrong.id = JobId("other");
  crossed.observer.OnAnswer(1, wrong, kSecond);
  cr_assert_eq(crossed.Broken(), "own_answer ");
  Case twice;
  twice.observer.OnAnswer(1, twice.Refusal(true), kSecond);
  twice.observer.OnAnswer(1, twice.Refusal(true), kSecond);
  cr_assert_eq(twice.Broken(), "one_answer ");
}

Test(observer, a_false_not_run_is_seen) {
  Case before;
  before.Start(0, "sidecar-1", kSecond);
  before.observer.OnAnswer(1, before.Refusal(true), 2 * kSecond);
  cr_assert_eq(before.Broken(), "not_run ");
  Case after;
  after.observer.OnAnswer(1, after.Refusal(true), kSecond);
  after.Start(0, "sidecar-1", 2 * kSecond);
  cr_assert_eq(after.Broken(), "not_run ");
  Case task;
  task.Start(1, "sidecar-1", kSecond);
  task.observer.OnAnswer(
      1,
      task.Answer(JobOutcome::kFailed,
                  {TaskOutcome::kMayHaveRun, TaskOutcome::kNotRun}),
      2 * kSecond);
  cr_assert_eq(task.Broken(), "not_run ");
}

Test(observer, a_later_request_may_start_what_was_refused) {
  Case again;
  again.observer.OnAnswer(1, again.Refusal(true), kSecond);
  again.observer.OnRequest(2, again.spec, 2 * kSecond);
  again.Start(0, "sidecar-1", 2 * kSecond);
  cr_assert_eq(again.Broken(), "");
  // An earlier request that is still unanswered may have caused the start, so
  // the start is counted as late instead of reported as a violation.
  Case older;
  older.observer.OnRequest(2, older.spec, kSecond);
  older.observer.OnAnswer(2, older.Refusal(true), 2 * kSecond);
  older.Start(0, "sidecar-1", 3 * kSecond);
  cr_assert_eq(older.Broken(), "");
  cr_assert_eq(older.observer.late_starts(), 1);
  // A refusal that covers only its own request does not rule out starts that
  // another request of the job caused.
  Case own;
  own.Start(0, "sidecar-1", kSecond);
  own.observer.OnRequest(2, own.spec, kSecond);
  own.observer.OnAnswer(2, own.Refusal(false), 2 * kSecond);
  cr_assert_eq(own.Broken(), "");
}

Test(observer, starts_in_a_closed_place_are_seen) {
  Case c;
  const filbertwick::ZoneName zone("zone-a");
  c.observer.OnZoneRequest(zone, true, kSecond);
  c.observer.OnZoneAnswer(zone, true, true, kSecond);
  c.Start(0, "sidecar-1", 2 * kSecond);
  cr_assert_eq(c.Broken(), "");
  c.observer.OnCertainlyOut(zone, 3 * kSecond);
  c.Start(1, "sidecar-1", 3 * kSecond);
  cr_assert_eq(c.Broken(), "zone_out ");
  Case leaving;
  leaving.observer.OnLeaving(InstanceName("sidecar-1"), true, kSecond);
  leaving.Start(0, "sidecar-1", 2 * kSecond);
  leaving.Start(1, "sidecar-1", 9 * kSecond);
  cr_assert_eq(leaving.Broken(), "leaving ");
}

Test(observer, a_zone_on_its_way_back_is_not_closed) {
  Case c;
  const filbertwick::ZoneName zone("zone-a");
  c.observer.OnZoneRequest(zone, true, kSecond);
  c.observer.OnZoneRequest(zone, false, kSecond);
  c.observer.OnZoneAnswer(zone, true, true, kSecond);
  c.observer.OnCertainlyOut(zone, kSecond);
  c.Start(0, "sidecar-1", 9 * kSecond);
  cr_assert_eq(c.Broken(), "");
}

Test(observer, a_bundle_that_goes_back_is_seen) {
  Case c;
  filbertwick::wire::InstanceInfo info;
  info.name = InstanceName("entry-1");
  info.incarnation = 1;
  c.observer.OnBundle(info, 3, kSecond);
  info.incarnation = 2;
  c.observer.OnBundle(info, 0, kSecond);
  cr_assert_eq(c.Broken(), "");
  info.incarnation = 1;
  c.observer.OnBundle(info, 2, kSecond);
  cr_assert_eq(c.Broken(), "bundle_reverts ");
}

Test(observer, starts_without_a_request_and_untrue_ends_are_seen) {
  Case c;
  StartExecutionEffect start;
  start.key = {JobId("nobody"), 0};
  c.observer.OnStart(InstanceName("sidecar-1"), start, kSecond);
  c.observer.OnAnswer(1,
                      c.Answer(JobOutcome::kFailed,
                               {TaskOutcome::kRan, TaskOutcome::kMayHaveRun}),
                      kSecond);
  cr_assert_eq(c.Broken(), "own_request true_outcome ");
}

}  // namespace

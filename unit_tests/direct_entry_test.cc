#include <criterion/criterion.h>

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

#include "filbertwick/core/direct/direct_job_table.h"
#include "filbertwick/core/direct/direct_settings.h"
#include "filbertwick/core/direct/job_footprint.h"
#include "filbertwick/core/direct/job_history.h"
#include "unit_tests/direct_entry_fixture.h"

namespace {

using namespace filbertwick::core::direct;
using filbertwick::Duration;
using filbertwick::InstanceName;
using filbertwick::ToMicros;
using filbertwick::ZoneName;
using filbertwick::test::kMilli;
using filbertwick::test::kTaskCpu;
using Fixture = filbertwick::test::DirectEntryFixture;

}  // namespace

Test(direct_entry, answers_when_the_last_task_is_done) {
  Fixture it;
  it.Submit(it.Job("j", 3));
  const auto runs = it.AcceptOffers();
  cr_assert_eq(runs.size(), 3);
  for (const auto& [n, run] : runs) {
    cr_assert(it.answers.empty());
    it.EndRun(n, run, EndKind::kDone);
  }
  cr_assert_eq(it.answers.size(), 1);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kCompleted);
}

Test(direct_entry, logs_placements_and_refusals) {
  Fixture it;
  const auto logged = [&](std::string_view event, std::string_view text) {
    return std::ranges::any_of(it.lines, [&](const std::string& line) {
      return line.find(event) != line.npos && line.find(text) != line.npos;
    });
  };
  it.Submit(it.Job("j", 3));
  cr_assert(logged("job_placed", R"("job":"j","tasks":3,"places":"s0:)"));
  cr_assert(logged("job_placed", "oldest_view_us"));
  for (const auto& [n, run] : it.AcceptOffers()) {
    it.EndRun(n, run, EndKind::kDone);
  }
  cr_assert(logged("job_completed", R"("job":"j")"));
  JobRequest large = it.Job("k", 1);
  large.steps.front().needs.cpu_millis = 5 * kTaskCpu;
  it.Submit(large);
  cr_assert(logged("job_refused", R"("usable_upstreams":2,"jobs_waiting":0)"),
            "%s", it.lines.back().c_str());
  cr_assert_not(logged("job_completed", R"("job":"k")"));
}

Test(direct_entry, refuses_at_once_jobs_larger_than_any_upstream) {
  Fixture it;
  JobRequest job = it.Job("j", 1);
  job.steps.front().needs.cpu_millis = 5 * kTaskCpu;
  it.Submit(job);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kRefused);
  cr_assert_gt(it.answers.front().retry_after.count(), 0);
}

Test(direct_entry, refuses_a_job_once_it_cannot_meet_its_target) {
  Fixture it;
  it.SendFromSidecar(0, {}, {}, 0);
  it.SendFromSidecar(1, {}, {}, 0);
  it.Submit(it.Job("j", 1));
  it.AdvanceTime(119 * kMilli);
  cr_assert(it.answers.empty());
  it.AdvanceTime(kMilli);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kRefused);
  cr_assert(it.offers.empty());
}

Test(direct_entry, never_refuses_a_job_with_an_open_offer) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  cr_assert_eq(it.offers.size(), 1);
  it.AdvanceTime(1499 * kMilli);
  cr_assert(it.answers.empty());
  it.AdvanceTime(kMilli);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kTimedOut);
}

Test(direct_entry, offers_the_rest_as_capacity_is_freed) {
  Fixture it;
  it.Submit(it.Job("j", 6));
  const auto runs = it.AcceptOffers(0);
  cr_assert_eq(runs.size(), 4);
  cr_assert(it.offers.empty());
  it.SendFromSidecar(
      1, {},
      {{++it.last_end[1],
        std::ranges::find(runs, 1u, [](const auto& item) { return item.first; })
            ->second,
        EndKind::kDone, 90'000}},
      1);
  cr_assert_eq(it.offers.size(), 1);
}

Test(direct_entry, retries_a_failed_task_elsewhere_until_attempts_are_used) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  const auto [first, run] = it.AcceptOffers().front();
  it.EndRun(first, run, EndKind::kFailed);
  const auto [second, second_run] = it.AcceptOffers().front();
  cr_assert_neq(first, second);
  cr_assert_gt(second_run.run, run.run);
  it.EndRun(second, second_run, EndKind::kFailed);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kFailed);
}

Test(direct_entry, does_not_count_lost_runs_as_failed_attempts) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  for (int n = 0; n < 5; ++n) {
    const auto [sidecar, run] = it.AcceptOffers().front();
    it.EndRun(sidecar, run, EndKind::kLost);
    cr_assert(it.answers.empty());
  }
}

Test(direct_entry, runs_a_step_after_its_dependencies) {
  Fixture it;
  JobRequest job = it.Job("j", 2);
  job.steps.push_back(job.steps.front());
  job.steps.back().count = 1;
  job.steps.back().after = {0};
  it.Submit(job);
  const auto runs = it.AcceptOffers();
  cr_assert_eq(runs.size(), 2);
  it.EndRun(runs[0].first, runs[0].second, EndKind::kDone);
  cr_assert(it.offers.empty());
  it.EndRun(runs[1].first, runs[1].second, EndKind::kDone);
  cr_assert_eq(it.offers.size(), 1);
  cr_assert_eq(it.offers.front().second.tasks.front().run.task, "j.1.0");
}

// The time of a placement doubled with each step of such a job, and an entry
// that read one of 24 steps or more answered nothing any more. The timeout only
// ends the test when that happens.
Test(direct_entry,
     runs_a_job_whose_steps_name_all_earlier_ones,
     .timeout = 60) {
  constexpr size_t kSteps = 980;
  Fixture it;
  JobRequest job = it.Job("j", 1);
  while (job.steps.size() < kSteps) {
    const size_t number = job.steps.size();
    job.steps.push_back(job.steps.front());
    job.steps.back().after.resize(number);
    std::iota(job.steps.back().after.begin(), job.steps.back().after.end(), 0);
  }
  it.Submit(job);
  for (size_t step = 0; step < kSteps; ++step) {
    const auto runs = it.AcceptOffers();
    cr_assert_eq(runs.size(), 1);
    cr_assert_eq(runs.front().second.task, "j." + std::to_string(step) + ".0");
    it.EndRun(runs.front().first, runs.front().second, EndKind::kDone);
  }
  cr_assert_eq(it.answers.size(), 1);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kCompleted);
}

// The stop of a run arrives before its offer, and the run is reported as not
// started. A resend of the offer has a fresh clock reading, so that the sidecar
// starts the run once it has forgotten the stop.
Test(direct_entry, does_not_resend_the_offer_of_a_run_that_has_ended) {
  Fixture it;
  const JobRequest job = it.Job("j", 1);
  it.Submit(job);
  cr_assert_eq(it.offers.size(), 1);
  const auto [sidecar, offer] = std::exchange(it.offers, {}).front();
  EntryEffects effects;
  it.entry->OnCallerGone(it.now, job.request, effects);
  it.Collect(effects);
  it.EndRun(sidecar, offer.tasks.front().run, EndKind::kNotStarted);
  it.offers.clear();
  for (int n = 0; n < 20; ++n) {
    it.AdvanceTime(50 * kMilli);
    it.SendFromSidecar(sidecar, {}, {});
  }
  cr_assert(it.offers.empty(), "offered %lu times", it.offers.size());
}

// The same while the end is not reported yet: the stops of a removed job are
// resent, its offer is not, though it is unanswered.
Test(direct_entry, does_not_resend_the_offer_of_a_removed_job) {
  Fixture it;
  const JobRequest job = it.Job("j", 2);
  it.Submit(job);
  it.offers.clear();
  EntryEffects effects;
  it.entry->OnCallerGone(it.now, job.request, effects);
  it.Collect(effects);
  it.stops.clear();
  for (int n = 0; n < 6; ++n) {
    it.AdvanceTime(50 * kMilli);
    it.SendFromSidecar(0, {}, {});
    it.SendFromSidecar(1, {}, {});
  }
  cr_assert_not(it.stops.empty());
  cr_assert(it.offers.empty(), "offered %lu times", it.offers.size());
}

Test(direct_entry, offers_nothing_in_a_zone_that_is_out) {
  Fixture it;
  it.entry->SetZonesOut({ZoneName("z0")});
  it.Submit(it.Job("j", 2));
  cr_assert_eq(it.offers.size(), 1);
  cr_assert_eq(it.offers.front().first, 1);
}

Test(direct_entry, stops_runs_when_the_caller_disconnects) {
  Fixture it;
  it.Submit(it.Job("j", 2));
  it.AcceptOffers();
  EntryEffects effects;
  it.entry->OnCallerGone(it.now, 1, effects);
  it.Collect(effects);
  cr_assert_eq(it.stops.size(), 2);
  cr_assert(it.answers.empty());
}

Test(direct_entry, answers_duplicate_requests_with_one_run) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  it.Submit(it.Job("j", 1));
  const auto runs = it.AcceptOffers();
  cr_assert_eq(runs.size(), 1);
  it.EndRun(runs.front().first, runs.front().second, EndKind::kDone);
  cr_assert_eq(it.answers.size(), 2);
}

Test(direct_entry, accepts_another_incarnation_only_with_a_fresh_reply) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  const auto [sidecar, run] = it.AcceptOffers().front();
  // A delayed message of an earlier incarnation.
  SidecarMessage delayed;
  delayed.from = {InstanceName(sidecar == 0 ? "s0" : "s1"), 2};
  delayed.to_incarnation = 7;
  delayed.echoed_sent_at = ToMicros(it.now - std::chrono::seconds(1));
  delayed.clock = ToMicros(it.now);
  delayed.accepts_tasks = true;
  EntryEffects effects;
  it.entry->OnMessage(it.now, delayed, effects);
  it.Collect(effects);
  cr_assert(it.offers.empty());
  it.EndRun(sidecar, run, EndKind::kDone);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kCompleted);
}

// A job of two tasks goes to one sidecar, which takes the first task only. The
// end of that task arrives before the reply to the offer.
Test(direct_entry, matches_a_reply_to_its_tasks_after_one_has_ended) {
  Fixture it;
  it.SendFromSidecar(0, {}, {}, 0);
  it.Submit(it.Job("j", 2));
  cr_assert_eq(it.offers.size(), 1);
  const auto [n, offer] = it.offers.front();
  cr_assert_eq(n, 1);
  it.offers.clear();
  it.EndRun(1, offer.tasks[0].run, EndKind::kDone);
  it.offers.clear();
  it.SendFromSidecar(1, {{offer.id, {Refusal::kNone, Refusal::kNoCapacity}}},
                     {});
  cr_assert_eq(it.offers.size(), 1);
  cr_assert_eq(it.offers.front().second.tasks.front().run.task,
               offer.tasks[1].run.task);
}

// The caller of a job disconnects and sends the job again at once. The reply to
// the first offer arrives after the new one was accepted elsewhere.
Test(direct_entry, ignores_late_replies_about_an_earlier_instance_of_a_job) {
  Fixture it;
  it.SendFromSidecar(1, {}, {}, 0);
  it.Submit(it.Job("j", 1));
  const auto [first, old_offer] = it.offers.front();
  cr_assert_eq(first, 0);
  EntryEffects effects;
  it.entry->OnCallerGone(it.now, 1, effects);
  it.Collect(effects);
  // The stop has overtaken the offer.
  it.offers.clear();
  it.SendFromSidecar(
      0, {},
      {{++it.last_end[0], old_offer.tasks[0].run, EndKind::kNotStarted, 0}}, 0);
  it.SendFromSidecar(1, {}, {});
  it.Submit(it.Job("j", 1));
  const auto runs = it.AcceptOffers();
  cr_assert_eq(runs.size(), 1);
  cr_assert_eq(runs.front().first, 1);
  it.SendFromSidecar(0, {{old_offer.id, {Refusal::kStopped}}}, {});
  cr_assert(it.offers.empty());
}

Test(direct_entry, numbers_the_runs_of_a_resent_job_after_the_earlier_ones) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  const auto [n, run] = it.AcceptOffers().front();
  EntryEffects effects;
  it.entry->OnCallerGone(it.now, 1, effects);
  it.Collect(effects);
  it.EndRun(n, run, EndKind::kStopped);
  it.Submit(it.Job("j", 1));
  const auto resent = it.AcceptOffers();
  cr_assert_eq(resent.size(), 1);
  cr_assert_eq(resent.front().second.task, run.task);
  cr_assert_gt(resent.front().second.run, run.run);
}

// A job that waits for capacity must not use up run numbers: a resent job
// starts from the wall clock and would get lower ones at another entry.
Test(direct_entry, uses_no_run_numbers_while_nothing_is_placed) {
  Fixture it;
  it.Submit(it.Job("j", 5));
  const auto runs = it.AcceptOffers(0);
  cr_assert_eq(runs.size(), 4);
  for (int n = 0; n < 50; ++n) {
    it.SendFromSidecar(0, {}, {}, 0);
  }
  it.SendFromSidecar(0, {}, {}, 1);
  const auto last = it.AcceptOffers();
  cr_assert_eq(last.size(), 1);
  cr_assert_eq(last.front().second.run, runs.front().second.run + 1);
}

// After a power loss the sidecars answer before they know their upstreams.
Test(direct_entry, keeps_a_job_while_sidecars_look_for_their_upstreams) {
  Fixture it;
  it.AdvanceTime(10 * kMilli);
  it.RestartWithoutUpstream(0);
  it.RestartWithoutUpstream(1);
  it.Submit(it.Job("j", 1));
  cr_assert(it.answers.empty());
  // Known hopeless once they had the time to find one.
  it.AdvanceTime(std::chrono::seconds(2));
  it.answers.clear();
  it.Submit(it.Job("k", 1));
  cr_assert_eq(it.answers.size(), 1);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kRefused);
  cr_assert_eq(it.answers.front().cause, "no_upstream_fits");
}

Test(direct_entry, refuses_at_once_jobs_with_a_label_that_no_upstream_has) {
  Fixture it;
  it.AdvanceTime(std::chrono::seconds(3));
  it.SendFromSidecar(0, {}, {});
  it.SendFromSidecar(1, {}, {});
  JobRequest job = it.Job("j", 1);
  job.steps.front().required_label = "gpu";
  it.Submit(job);
  cr_assert_eq(it.answers.size(), 1);
  cr_assert_eq(it.answers.front().cause, "no_upstream_fits");
}

Test(direct_entry, keeps_a_job_that_arrives_before_any_sidecar_is_known) {
  Fixture it;
  it.entry = DirectEntry::Create(
      {InstanceName("entry"), 8}, {},
      [](std::string_view job, size_t, size_t) { return std::string(job); });
  it.Submit(it.Job("j", 1));
  cr_assert(it.answers.empty());
}

// A deployment with two services: a burst at one must not hold up the other.
Test(direct_entry, jobs_of_another_service_pass_a_job_that_waits) {
  Fixture it;
  it.SendFromSidecar(0, {}, {}, 0);
  SidecarMessage other = it.MessageFrom(1, 2);
  other.upstream.service = "other";
  it.Deliver(other);
  it.Submit(it.Job("waits", 1));
  cr_assert(it.offers.empty());
  JobRequest job = it.Job("passes", 1);
  job.service = "other";
  it.Submit(job);
  cr_assert_eq(it.offers.size(), 1);
  cr_assert_eq(it.offers.front().first, 1);
}

Test(direct_entry, jobs_pass_one_that_waits_for_a_label) {
  Fixture it;
  SidecarMessage labelled = it.MessageFrom(0, 0);
  labelled.upstream.labels = {"gpu"};
  it.Deliver(labelled);
  JobRequest waits = it.Job("waits", 1);
  waits.steps.front().required_label = "gpu";
  it.Submit(waits);
  it.Submit(it.Job("passes", 1));
  cr_assert_eq(it.offers.size(), 1);
  cr_assert_eq(it.offers.front().first, 1);
  // The labelled upstream is left to the job that can run nowhere else.
  it.offers.clear();
  it.SendFromSidecar(1, {}, {}, 0);
  it.Submit(it.Job("behind", 1));
  labelled.clock += 1;
  labelled.free = {kTaskCpu, 100, 0};
  it.Deliver(labelled);
  cr_assert_eq(it.offers.size(), 1);
  cr_assert_eq(it.offers.front().second.tasks.front().run.task, "waits.0.0");
}

// A resent job whose first runs are still being stopped.
Test(direct_entry, jobs_pass_one_that_waits_for_a_stop) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  it.AcceptOffers();
  EntryEffects effects;
  it.entry->OnCallerGone(it.now, 1, effects);
  it.Collect(effects);
  it.Submit(it.Job("j", 1));
  it.Submit(it.Job("k", 1));
  cr_assert_eq(it.offers.size(), 1);
  cr_assert_eq(it.offers.front().second.tasks.front().run.task, "k.0.0");
}

// Narrow jobs behind a wide one must not take the capacity that it waits for.
Test(direct_entry, a_wide_job_is_not_starved_by_narrow_ones) {
  Fixture it;
  it.Submit(it.Job("wide", 5));
  it.AcceptOffers(0);
  it.Submit(it.Job("narrow", 1));
  cr_assert(it.offers.empty());
  it.SendFromSidecar(1, {}, {}, 1);
  cr_assert_eq(it.offers.size(), 1);
  cr_assert_eq(it.offers.front().second.tasks.front().run.task.substr(0, 4),
               "wide");
}

// After an outage, callers who had to wait for a connection have little of
// their time left.
Test(direct_entry, refuses_at_once_jobs_that_can_not_end_in_the_callers_time) {
  Fixture it;
  JobRequest job = it.Job("short", 1);
  job.time_limit = 20 * kMilli;
  it.Submit(job);
  cr_assert(it.offers.empty());
  cr_assert_eq(it.answers.size(), 1);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kRefused);
  cr_assert_eq(it.answers.front().cause, "time_limit_too_short");
  // One that may end in time waits only as long as that is so.
  it.SendFromSidecar(0, {}, {}, 0);
  it.SendFromSidecar(1, {}, {}, 0);
  job = it.Job("tight", 1);
  job.time_limit = 70 * kMilli;
  it.Submit(job);
  it.AdvanceTime(44 * kMilli);
  cr_assert_eq(it.answers.size(), 1);
  it.AdvanceTime(kMilli);
  cr_assert_eq(it.answers.size(), 2);
  cr_assert_eq(it.answers.back().outcome, JobOutcome::kRefused);
}

// The lines of single decisions share a limited volume with all other jobs.
Test(direct_entry, logs_the_history_of_a_job_that_ends_badly_in_one_line) {
  Fixture it;
  const auto histories = [&](std::string_view text) {
    return std::ranges::count_if(it.lines, [&](const std::string& line) {
      return line.find(R"("event":"job_history")") != line.npos &&
             line.find(text) != line.npos;
    });
  };
  it.Submit(it.Job("good", 1));
  const auto [first, good] = it.AcceptOffers().front();
  it.EndRun(first, good, EndKind::kDone);
  cr_assert_eq(histories(""), 0);
  it.Submit(it.Job("bad", 1));
  for (int n = 0; n < 2; ++n) {
    const auto [sidecar, run] = it.AcceptOffers().front();
    it.AdvanceTime(5 * kMilli);
    it.EndRun(sidecar, run, EndKind::kFailed);
  }
  cr_assert_eq(histories(R"("job":"bad")"), 1);
  cr_assert_eq(histories("+0 ms placed 1 tasks, now s"), 1);
  cr_assert_eq(histories("; +5 ms bad.0.0 failed at s"), 1);
  cr_assert_eq(histories("; +10 ms bad.0.0 failed at s"), 1);
}

Test(job_history, keeps_the_newest_decisions) {
  JobHistory history;
  for (size_t n = 0; n < JobHistory::kMaxDecisions + 2; ++n) {
    history.Add(std::chrono::milliseconds(n), "decision " + std::to_string(n));
  }
  cr_assert(history.Format().starts_with("2 earlier; +2 ms decision 2; "), "%s",
            history.Format().c_str());
}

// With one attempt for each task, every upstream that has lost a run must still
// get the task that ends its probation.
Test(direct_entry, uses_upstreams_on_probation_for_jobs_with_one_attempt) {
  Fixture it;
  JobRequest job = it.Job("j", 1);
  job.max_attempts = 1;
  it.Submit(job);
  for (int n = 0; n < 4; ++n) {
    const auto runs = it.AcceptOffers();
    cr_assert_eq(runs.size(), 1);
    it.EndRun(runs.front().first, runs.front().second, EndKind::kLost);
  }
}

// All estimates are a third of the run times: no upstream is slow, and jobs are
// placed at once although they will be late.
Test(direct_entry, places_jobs_at_once_where_all_estimates_are_too_low) {
  Fixture it;
  for (int n = 0; n < 40; ++n) {
    it.Submit(it.Job("warm" + std::to_string(n), 2));
    for (const auto& [sidecar, run] : it.AcceptOffers()) {
      it.SendFromSidecar(
          sidecar, {},
          {{++it.last_end[sidecar], run, EndKind::kDone, 300'000}});
    }
  }
  it.offers.clear();
  it.Submit(it.Job("j", 4));
  size_t tasks = 0;
  for (const auto& [n, offer] : it.offers) {
    tasks += offer.tasks.size();
  }
  cr_assert_eq(tasks, 4);
}

// Jobs that wait for one service kept the jobs of another from free upstreams,
// once as many waited as a pass over the waiting jobs leaves waiting.
Test(direct_entry, places_a_job_behind_many_that_wait_for_another_service) {
  for (const std::string_view full : {"service", "service-without-upstream"}) {
    Fixture it;
    SidecarMessage other = it.MessageFrom(1, 2);
    other.upstream.service = "other";
    it.Deliver(other);
    for (int n = 0; n < 40; ++n) {
      JobRequest job = it.Job("waits" + std::to_string(n), 2);
      job.service = full;
      it.Submit(job);
    }
    it.offers.clear();
    JobRequest job = it.Job("j", 1);
    job.service = "other";
    it.Submit(job);
    cr_assert_eq(it.offers.size(), 1);
    cr_assert_eq(it.offers.front().first, 1);
  }
}

// A full queue refused jobs of a service for which no other job waits, though
// its upstreams were idle.
Test(direct_entry, places_a_job_of_another_service_when_the_queue_is_full) {
  Fixture it;
  SidecarMessage other = it.MessageFrom(1, 2);
  other.upstream.service = "other";
  it.Deliver(other);
  JobRequest waiting = it.Job("", 2);
  waiting.expected = Duration(0);
  for (size_t n = 0; n < DirectEntrySettings().max_waiting_jobs + 1; ++n) {
    waiting.id = "waits" + std::to_string(n);
    ++waiting.request;
    it.Submit(waiting);
  }
  it.offers.clear();
  it.answers.clear();
  JobRequest job = waiting;
  job.id = "j";
  job.service = "other";
  job.request = 10'000;
  job.target += kMilli;
  it.Submit(job);
  cr_assert_eq(it.offers.size(), 1);
  cr_assert_eq(it.offers.front().first, 1);
  // Another one of the full service is refused.
  waiting.id = "last";
  waiting.request = 10'001;
  waiting.target += 2 * kMilli;
  it.Submit(waiting);
  cr_assert_eq(it.answers.size(), 1);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kRefused);
}

// A short text may describe a job whose state is large.
Test(job_footprint, covers_the_state_of_tasks_and_dependencies) {
  Fixture it;
  JobRequest job = it.Job("0123456789abcdef", 1);
  const size_t small = EstimateFootprint(job);
  cr_assert_lt(small, 4096);
  job.steps.front().count = 1000;
  cr_assert_geq(EstimateFootprint(job), small + 999 * sizeof(JobTask));
  job.steps.front().after.assign(1000, 0);
  cr_assert_geq(EstimateFootprint(job),
                small + 999 * sizeof(JobTask) + 1000 * sizeof(size_t));
}

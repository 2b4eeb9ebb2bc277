#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "filbertwick/core/direct/direct_entry.h"
#include "filbertwick/core/direct/job_history.h"

namespace {

using filbertwick::Duration;
using filbertwick::InstanceName;
using filbertwick::Instant;
using filbertwick::ToMicros;
using filbertwick::ZoneName;
using namespace filbertwick::core::direct;

constexpr Duration kMilli = std::chrono::milliseconds(1);
constexpr int64_t kTaskCpu = 1000;

/// An entry with two sidecars that have capacity for two tasks each. Collects
/// the entry's messages, answers and log lines.
class Fixture {
 public:
  Fixture() {
    entry = DirectEntry::Create(
        {InstanceName("entry"), 7}, {},
        [](std::string_view job, size_t step, size_t index) {
          return std::string(job) + "." + std::to_string(step) + "." +
                 std::to_string(index);
        });
    const std::vector<InstanceName> names = {InstanceName("s0"),
                                             InstanceName("s1")};
    entry->AddSidecars(now, names);
    AdvanceTime(Duration(0));
    SendFromSidecar(0, {}, {});
    SendFromSidecar(1, {}, {});
  }

  void Collect(EntryEffects& effects) {
    for (EntryEffect& effect : effects) {
      if (auto* send = std::get_if<SendToSidecarEffect>(&effect)) {
        const size_t n = send->to.value() == "s0" ? 0 : 1;
        last_sent_at[n] = send->message.sent_at;
        for (const Offer& offer : send->message.offers) {
          offers.push_back({n, offer});
        }
        std::ranges::copy(send->message.stops, std::back_inserter(stops));
      } else if (auto* answer = std::get_if<AnswerJobEffect>(&effect)) {
        answers.push_back(*answer);
      } else if (const auto* line =
                     std::get_if<filbertwick::LogLine>(&effect)) {
        lines.push_back(line->Text());
      }
    }
  }

  /// Delivers a message from sidecar `n` to the entry. The message reports
  /// capacity for `free_tasks` tasks.
  void SendFromSidecar(size_t n,
                       std::vector<OfferReply> replies,
                       std::vector<RunEnd> ends,
                       int64_t free_tasks = 2) {
    SidecarMessage message = MessageFrom(n, free_tasks);
    message.replies = std::move(replies);
    message.ends = std::move(ends);
    Deliver(message);
  }

  /// Returns a message of sidecar `n` with capacity for `free_tasks` tasks.
  SidecarMessage MessageFrom(size_t n, int64_t free_tasks) const {
    SidecarMessage message;
    message.from = {InstanceName(n == 0 ? "s0" : "s1"), 3};
    message.to_incarnation = 7;
    message.echoed_sent_at = last_sent_at[n];
    message.clock = ToMicros(now);
    message.accepts_tasks = true;
    message.upstream.service = "service";
    message.upstream.zone = ZoneName(n == 0 ? "z0" : "z1");
    message.upstream.capacity = {2 * kTaskCpu, 100, 0};
    message.free = {free_tasks * kTaskCpu, 100, 0};
    return message;
  }

  void Deliver(const SidecarMessage& message) {
    EntryEffects effects;
    entry->OnMessage(now, message, effects);
    Collect(effects);
  }

  JobRequest Job(const std::string& id, uint32_t tasks) {
    JobRequest job;
    job.request = ++last_request;
    job.id = id;
    job.service = "service";
    job.max_attempts = 2;
    job.expected = 100 * kMilli;
    job.target = 220 * kMilli;
    job.time_limit = 1500 * kMilli;
    JobStep step;
    step.count = tasks;
    step.needs = {kTaskCpu, 1, 0};
    step.estimate = 100 * kMilli;
    job.steps.push_back(step);
    return job;
  }

  /// Delivers a message of a new incarnation of sidecar `n` that has not found
  /// its upstream yet.
  void RestartWithoutUpstream(size_t n) {
    SidecarMessage message;
    message.from = {InstanceName(n == 0 ? "s0" : "s1"), 4};
    message.to_incarnation = 7;
    message.echoed_sent_at = ToMicros(now);
    message.clock = ToMicros(now);
    EntryEffects effects;
    entry->OnMessage(now, message, effects);
    Collect(effects);
  }

  void Submit(JobRequest job) {
    EntryEffects effects;
    entry->OnJob(now, {1'800'000'000'000}, std::move(job), effects);
    Collect(effects);
  }

  void AdvanceTime(Duration duration) {
    now += duration;
    EntryEffects effects;
    entry->OnWakeup(now, effects);
    Collect(effects);
  }

  /// Accepts all offers collected so far, each with a message that reports
  /// capacity for `free_tasks` tasks. Returns the sidecar and the run of each
  /// accepted task.
  std::vector<std::pair<size_t, TaskRun>> AcceptOffers(int64_t free_tasks = 2) {
    std::vector<std::pair<size_t, TaskRun>> runs;
    for (const auto& [n, offer] : std::exchange(offers, {})) {
      SendFromSidecar(n, {{offer.id, std::vector<Refusal>(offer.tasks.size())}},
                      {}, free_tasks);
      for (const OfferedTask& task : offer.tasks) {
        runs.emplace_back(n, task.run);
      }
    }
    return runs;
  }

  void EndRun(size_t n, const TaskRun& run, EndKind kind) {
    SendFromSidecar(n, {}, {{++last_end[n], run, kind, 90'000}});
  }

  Instant now{std::chrono::seconds(100)};
  std::unique_ptr<DirectEntry> entry;
  std::vector<std::pair<size_t, Offer>> offers;
  std::vector<TaskRun> stops;
  std::vector<AnswerJobEffect> answers;
  std::vector<std::string> lines;
  int64_t last_sent_at[2] = {0, 0};
  uint64_t last_end[2] = {0, 0};
  uint64_t last_request = 0;
};

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

// A sidecar that answers nothing gets requests for an answer, and the offer
// again only when it has answered one of them.
Test(direct_entry, does_not_resend_offers_to_a_sidecar_that_does_not_answer) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  cr_assert_eq(it.offers.size(), 1);
  const auto [n, offer] = it.offers.front();
  for (int step = 0; step < 100; ++step) {
    it.AdvanceTime(10 * kMilli);
  }
  cr_assert_eq(it.offers.size(), 1, "%lu offers sent", it.offers.size());
  it.SendFromSidecar(n, {}, {});
  it.AdvanceTime(kMilli);
  cr_assert_eq(it.offers.size(), 2);
  cr_assert_eq(it.offers.back().second.id, offer.id);
}

Test(direct_entry, does_not_resend_stops_to_a_sidecar_that_does_not_answer) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  const auto [n, run] = it.AcceptOffers().front();
  EntryEffects effects;
  it.entry->OnCallerGone(it.now, it.last_request, effects);
  it.Collect(effects);
  cr_assert_eq(it.stops.size(), 1);
  for (int step = 0; step < 100; ++step) {
    it.AdvanceTime(10 * kMilli);
  }
  cr_assert_eq(it.stops.size(), 1, "%lu stops sent", it.stops.size());
  it.SendFromSidecar(n, {}, {});
  it.AdvanceTime(kMilli);
  cr_assert_eq(it.stops.size(), 2);
}

// Messages that arrive are no sign of a working path when they answer requests
// of a second ago.
Test(direct_entry, offers_nothing_over_a_path_that_takes_too_long) {
  Fixture it;
  const SidecarMessage late[] = {it.MessageFrom(0, 2), it.MessageFrom(1, 2)};
  for (int step = 0; step < 100; ++step) {
    it.AdvanceTime(10 * kMilli);
    for (SidecarMessage message : late) {
      message.clock = ToMicros(it.now - 500 * kMilli);
      it.Deliver(message);
    }
  }
  it.Submit(it.Job("j", 1));
  cr_assert(it.offers.empty());
  cr_assert_eq(it.entry->Status(it.now).usable_sidecars, 0);
}

// A task that was beside the cause of a crash is run again, also after a second
// one.
Test(direct_entry, gives_up_a_task_under_which_three_upstreams_have_crashed) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  for (int crash = 1; crash <= 3; ++crash) {
    cr_assert(it.answers.empty());
    const auto runs = it.AcceptOffers();
    cr_assert_eq(runs.size(), 1);
    it.EndRun(runs.front().first, runs.front().second, EndKind::kCrashed);
    it.AdvanceTime(kMilli);
  }
  cr_assert(it.offers.empty());
  cr_assert_eq(it.answers.size(), 1);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kFailed);
  cr_assert_eq(it.answers.front().cause, "upstreams_crashed");
}

Test(direct_entry, gives_up_a_task_that_is_the_likely_cause_of_two_crashes) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  for (int crash = 1; crash <= 2; ++crash) {
    cr_assert(it.answers.empty());
    const auto [n, run] = it.AcceptOffers().front();
    RunEnd end = {++it.last_end[n], run, EndKind::kCrashed, 50'000};
    end.crash_suspects = 1;
    it.SendFromSidecar(n, {}, {end});
  }
  cr_assert(it.offers.empty());
  cr_assert_eq(it.answers.size(), 1);
}

// With two upstreams, the zone of confined queues is one of them.
Test(direct_entry, confined_jobs_do_not_hold_up_others) {
  Fixture it;
  SidecarMessage message = it.MessageFrom(0, 2);
  for (uint64_t number = 1; number <= 2; ++number) {
    message.crash.number = number;
    message.crash.suspects = {{"bad.0.0", "bad"}};
    it.Deliver(message);
  }
  for (int n = 0; n < 30; ++n) {
    JobRequest job = it.Job("bad" + std::to_string(n), 1);
    job.queue = "bad";
    it.Submit(job);
  }
  std::set<size_t> zone;
  std::ranges::for_each(it.offers,
                        [&](const auto& sent) { zone.insert(sent.first); });
  cr_assert_eq(it.offers.size(), 2);
  cr_assert_eq(zone.size(), 1);
  JobRequest good = it.Job("good", 1);
  good.queue = "good";
  it.Submit(good);
  cr_assert_eq(it.offers.size(), 3);
  cr_assert_not(zone.contains(it.offers.back().first));
}

// The first entry has died after its task had crashed two upstreams.
Test(direct_entry, knows_the_crashes_under_a_job_that_is_sent_again) {
  Fixture it;
  SidecarMessage message = it.MessageFrom(0, 2);
  for (uint64_t number = 1; number <= 2; ++number) {
    message.crash.number = number;
    message.crash.suspects = {{"j.0.0", "queue"}};
    it.Deliver(message);
  }
  it.Submit(it.Job("j", 1));
  cr_assert(it.offers.empty());
  cr_assert_eq(it.answers.size(), 1);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kFailed);
}

// The work for each message grows with sidecars and waiting jobs. An entry that
// is behind must not do it for every message that has piled up.
Test(direct_entry, places_once_for_messages_that_arrive_together) {
  Fixture it;
  it.SendFromSidecar(0, {}, {}, 0);
  it.SendFromSidecar(1, {}, {}, 0);
  it.Submit(it.Job("j", 4));
  cr_assert(it.offers.empty());
  const SidecarMessage messages[] = {it.MessageFrom(0, 2),
                                     it.MessageFrom(1, 2)};
  EntryEffects effects;
  it.entry->OnMessages(it.now, messages, effects);
  it.Collect(effects);
  cr_assert_eq(it.offers.size(), 2);
  cr_assert_eq(std::ranges::count_if(it.lines,
                                     [](const std::string& line) {
                                       return line.find("job_placed") !=
                                              std::string::npos;
                                     }),
               1);
}

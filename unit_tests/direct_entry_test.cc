#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "filbertwick/core/direct/direct_entry.h"

namespace {

using filbertwick::Duration;
using filbertwick::InstanceName;
using filbertwick::Instant;
using filbertwick::ToMicros;
using filbertwick::ZoneName;
using namespace filbertwick::core::direct;

constexpr Duration kMilli = std::chrono::milliseconds(1);
constexpr int64_t kTaskCpu = 1000;

/// An entry and what it says to two sidecars with room for two tasks each.
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
    Wake(Duration(0));
    Say(0, {}, {});
    Say(1, {}, {});
  }

  void Collect(EntryEffects& effects) {
    for (EntryEffect& effect : effects) {
      if (auto* send = std::get_if<SendToSidecarEffect>(&effect)) {
        const size_t n = send->to.value() == "s0" ? 0 : 1;
        asked[n] = send->message.sent;
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

  /// A message of sidecar `n`.
  void Say(size_t n,
           std::vector<OfferReply> replies,
           std::vector<RunEnd> ends,
           int64_t free_tasks = 2) {
    SidecarMessage message;
    message.from = {InstanceName(n == 0 ? "s0" : "s1"), 3};
    message.to_incarnation = 7;
    message.asked_at = asked[n];
    message.clock = ToMicros(now);
    message.open = true;
    message.upstream.service = "service";
    message.upstream.zone = ZoneName(n == 0 ? "z0" : "z1");
    message.upstream.capacity = {2 * kTaskCpu, 100, 0};
    message.free = {free_tasks * kTaskCpu, 100, 0};
    message.replies = std::move(replies);
    message.ends = std::move(ends);
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

  void Submit(JobRequest job) {
    EntryEffects effects;
    entry->OnJob(now, {1'800'000'000'000}, std::move(job), effects);
    Collect(effects);
  }

  void Wake(Duration later) {
    now += later;
    EntryEffects effects;
    entry->OnWakeup(now, effects);
    Collect(effects);
  }

  /// Takes every open offer; the runs that are there now.
  std::vector<std::pair<size_t, TaskRun>> TakeOffers(int64_t free_tasks = 2) {
    std::vector<std::pair<size_t, TaskRun>> runs;
    for (const auto& [n, offer] : std::exchange(offers, {})) {
      Say(n, {{offer.id, std::vector<Refusal>(offer.tasks.size())}}, {},
          free_tasks);
      for (const OfferedTask& task : offer.tasks) {
        runs.emplace_back(n, task.run);
      }
    }
    return runs;
  }

  void End(size_t n, const TaskRun& run, EndKind kind) {
    Say(n, {}, {{++last_end[n], run, kind, 90'000}});
  }

  Instant now{std::chrono::seconds(100)};
  std::unique_ptr<DirectEntry> entry;
  std::vector<std::pair<size_t, Offer>> offers;
  std::vector<TaskRun> stops;
  std::vector<AnswerJobEffect> answers;
  std::vector<std::string> lines;
  int64_t asked[2] = {0, 0};
  uint64_t last_end[2] = {0, 0};
  uint64_t last_request = 0;
};

}  // namespace

Test(direct_entry, answers_when_the_last_task_is_done) {
  Fixture it;
  it.Submit(it.Job("j", 3));
  const auto runs = it.TakeOffers();
  cr_assert_eq(runs.size(), 3);
  for (const auto& [n, run] : runs) {
    cr_assert(it.answers.empty());
    it.End(n, run, EndKind::kDone);
  }
  cr_assert_eq(it.answers.size(), 1);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kCompleted);
}

Test(direct_entry, logs_where_a_job_goes_and_why_it_is_refused) {
  Fixture it;
  const auto has = [&](std::string_view event, std::string_view text) {
    return std::ranges::any_of(it.lines, [&](const std::string& line) {
      return line.find(event) != line.npos && line.find(text) != line.npos;
    });
  };
  it.Submit(it.Job("j", 3));
  cr_assert(has("job_placed", R"("job":"j","tasks":3,"places":"s0:)"));
  cr_assert(has("job_placed", "oldest_view_us"));
  for (const auto& [n, run] : it.TakeOffers()) {
    it.End(n, run, EndKind::kDone);
  }
  cr_assert(has("job_completed", R"("job":"j")"));
  JobRequest large = it.Job("k", 1);
  large.steps.front().needs.cpu_millis = 5 * kTaskCpu;
  it.Submit(large);
  cr_assert(has("job_refused", R"("usable_upstreams":2,"jobs_waiting":0)"),
            "%s", it.lines.back().c_str());
  cr_assert_not(has("job_completed", R"("job":"k")"));
}

Test(direct_entry, refuses_at_once_what_no_upstream_can_hold) {
  Fixture it;
  JobRequest job = it.Job("j", 1);
  job.steps.front().needs.cpu_millis = 5 * kTaskCpu;
  it.Submit(job);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kRefused);
  cr_assert_gt(it.answers.front().retry_after.count(), 0);
}

Test(direct_entry, refuses_a_job_once_it_cannot_meet_its_target) {
  Fixture it;
  it.Say(0, {}, {}, 0);
  it.Say(1, {}, {}, 0);
  it.Submit(it.Job("j", 1));
  it.Wake(119 * kMilli);
  cr_assert(it.answers.empty());
  it.Wake(kMilli);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kRefused);
  cr_assert(it.offers.empty());
}

Test(direct_entry, never_calls_a_job_refused_whose_offer_is_open) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  cr_assert_eq(it.offers.size(), 1);
  it.Wake(1499 * kMilli);
  cr_assert(it.answers.empty());
  it.Wake(kMilli);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kTimedOut);
}

Test(direct_entry, offers_what_fits_and_the_rest_as_room_falls_free) {
  Fixture it;
  it.Submit(it.Job("j", 6));
  const auto runs = it.TakeOffers(0);
  cr_assert_eq(runs.size(), 4);
  cr_assert(it.offers.empty());
  it.Say(
      1, {},
      {{++it.last_end[1],
        std::ranges::find(runs, 1u, [](const auto& item) { return item.first; })
            ->second,
        EndKind::kDone, 90'000}},
      1);
  cr_assert_eq(it.offers.size(), 1);
}

Test(direct_entry, starts_a_failed_task_elsewhere_and_gives_up_in_the_end) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  const auto [first, run] = it.TakeOffers().front();
  it.End(first, run, EndKind::kFailed);
  const auto [second, again] = it.TakeOffers().front();
  cr_assert_neq(first, second);
  cr_assert_gt(again.run, run.run);
  it.End(second, again, EndKind::kFailed);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kFailed);
}

Test(direct_entry, a_lost_run_is_no_failed_attempt) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  for (int n = 0; n < 5; ++n) {
    const auto [place, run] = it.TakeOffers().front();
    it.End(place, run, EndKind::kLost);
    cr_assert(it.answers.empty());
  }
}

Test(direct_entry, runs_a_step_after_the_steps_it_waits_for) {
  Fixture it;
  JobRequest job = it.Job("j", 2);
  job.steps.push_back(job.steps.front());
  job.steps.back().count = 1;
  job.steps.back().after = {0};
  it.Submit(job);
  const auto runs = it.TakeOffers();
  cr_assert_eq(runs.size(), 2);
  it.End(runs[0].first, runs[0].second, EndKind::kDone);
  cr_assert(it.offers.empty());
  it.End(runs[1].first, runs[1].second, EndKind::kDone);
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

Test(direct_entry, stops_what_runs_when_the_caller_goes) {
  Fixture it;
  it.Submit(it.Job("j", 2));
  it.TakeOffers();
  EntryEffects effects;
  it.entry->OnCallerGone(it.now, 1, effects);
  it.Collect(effects);
  cr_assert_eq(it.stops.size(), 2);
  cr_assert(it.answers.empty());
}

Test(direct_entry, one_run_answers_a_job_that_was_sent_twice) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  it.Submit(it.Job("j", 1));
  const auto runs = it.TakeOffers();
  cr_assert_eq(runs.size(), 1);
  it.End(runs.front().first, runs.front().second, EndKind::kDone);
  cr_assert_eq(it.answers.size(), 2);
}

Test(direct_entry, believes_another_life_only_when_it_answers_something_new) {
  Fixture it;
  it.Submit(it.Job("j", 1));
  const auto [place, run] = it.TakeOffers().front();
  // Written by an earlier life, late on its way.
  SidecarMessage old;
  old.from = {InstanceName(place == 0 ? "s0" : "s1"), 2};
  old.to_incarnation = 7;
  old.asked_at = ToMicros(it.now - std::chrono::seconds(1));
  old.clock = ToMicros(it.now);
  old.open = true;
  EntryEffects effects;
  it.entry->OnMessage(it.now, old, effects);
  it.Collect(effects);
  cr_assert(it.offers.empty());
  it.End(place, run, EndKind::kDone);
  cr_assert_eq(it.answers.front().outcome, JobOutcome::kCompleted);
}

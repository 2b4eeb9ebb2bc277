#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "filbertwick/harness/direct_cluster.h"
#include "filbertwick/harness/event_loop.h"

namespace {

using namespace filbertwick::core::direct;
using filbertwick::Duration;
using filbertwick::harness::CommandFate;
using filbertwick::harness::DirectCluster;
using filbertwick::harness::DirectClusterHooks;
using filbertwick::harness::DirectClusterSettings;
using filbertwick::harness::DirectLink;
using filbertwick::harness::DirectUpstream;
using filbertwick::harness::EntryLink;
using filbertwick::harness::EventLoop;
using filbertwick::harness::kClusterService;

constexpr Duration kMilli = std::chrono::milliseconds(1);
constexpr Duration kResendDelay = 1300 * kMilli;
constexpr uint32_t kSidecars = 2;
constexpr uint32_t kOrigin = 0;
constexpr uint32_t kTarget = 1;
constexpr uint32_t kThird = 2;

/// Three entries and two sidecars in virtual time. The first entry is saturated
/// and hands nearly every job to the second one, the only one that accepts any.
class HandoverCluster {
 public:
  HandoverCluster() : cluster_(loop_, Settings(), Hooks()) {
    for (uint32_t n = 0; n < kSidecars; ++n) {
      cluster_.StartUpstream(n, "upstream-" + std::to_string(n), 1);
      cluster_.StartSidecar(n);
      cluster_.Announce(n);
    }
    for (uint32_t n = 0; n < 3; ++n) {
      cluster_.StartEntry(n);
      pressure_[n] = n == kTarget ? 0.1 : 1;
    }
    ReportPressure();
    CheckRuns();
    RunFor(2000 * kMilli);
    // The first job is kept: the entry owes less than one handover.
    Submit(kOrigin, "first", 10 * kMilli);
    RunFor(100 * kMilli);
    cr_assert_eq(Outcome(last_request_), "completed");
  }

  uint64_t Submit(uint32_t n,
                  const std::string& id,
                  Duration length,
                  Duration time_limit = 3000 * kMilli) {
    lengths_[id] = length;
    JobRequest job;
    job.request = ++last_request_;
    job.id = id;
    job.service = kClusterService;
    job.max_attempts = 2;
    job.expected = 100 * kMilli;
    job.target = 1000 * kMilli;
    job.time_limit = time_limit;
    JobStep step;
    step.needs = {1000, 1, 0};
    step.estimate = 100 * kMilli;
    job.steps.push_back(step);
    cluster_.Submit(n, std::move(job));
    return last_request_;
  }

  void RunFor(Duration duration) { loop_.RunUntil(loop_.now() + duration); }

  /// Submits a job at the origin and lets the target start it.
  uint64_t HandOver(const std::string& id, Duration length) {
    const uint64_t request = Submit(kOrigin, id, length);
    RunFor(30 * kMilli);
    cr_assert(IsRunning(id), "%s does not run", id.c_str());
    cr_assert(Logged("job_taken_over", id));
    return request;
  }

  /// Returns the outcome and, unless the job was completed, the cause.
  std::string Outcome(uint64_t request) const {
    const auto it = answers_.find(request);
    if (it == answers_.end()) {
      return "none";
    }
    switch (it->second.outcome) {
      case JobOutcome::kCompleted:
        return "completed";
      case JobOutcome::kFailed:
        return "failed " + it->second.cause;
      case JobOutcome::kRefused:
        return "refused " + it->second.cause;
      case JobOutcome::kTimedOut:
        break;
    }
    return "timed_out " + it->second.cause;
  }

  bool IsRunning(const std::string& id) { return CountRuns(id) > 0; }
  size_t CountRuns(const std::string& id) {
    size_t n = 0;
    for (uint32_t k = 0; k < kSidecars; ++k) {
      cluster_.upstream(k).Advance(loop_.now());
      n += static_cast<size_t>(std::ranges::count_if(
          cluster_.upstream(k).Running(),
          [&](const TaskRun& run) { return run.task.starts_with(id + "."); }));
    }
    return n;
  }

  bool Logged(const std::string& event, const std::string& text) const {
    return std::ranges::any_of(lines_, [&](const std::string& line) {
      return line.find(event) != line.npos && line.find(text) != line.npos;
    });
  }

  /// Cuts a directed link between two entries.
  void Cut(uint32_t from, uint32_t to) { cut_.insert({from, to}); }
  void CutBoth() {
    Cut(kOrigin, kTarget);
    Cut(kTarget, kOrigin);
  }
  void Heal() { cut_.clear(); }

  DirectCluster& cluster() { return cluster_; }
  DirectEntry& entry(uint32_t n) { return cluster_.entry(n); }
  void SetPressure(uint32_t n, double pressure) { pressure_[n] = pressure; }
  uint32_t starts(const std::string& id) { return starts_[id]; }
  size_t answers() const { return answers_.size(); }

  /// Delays of the copies of a message between entries; changed by tests.
  std::function<std::vector<Duration>(const EntryLink&)> delays =
      [](const EntryLink&) { return std::vector<Duration>{kMilli}; };
  uint64_t messages = 0;
  uint64_t message_bytes = 0;

 private:
  static DirectClusterSettings Settings() {
    DirectClusterSettings settings;
    settings.entries = 3;
    settings.sidecars = kSidecars;
    settings.capacities.assign(kSidecars, {4000, 1000, 0});
    settings.entry_means = {{120, 3000}, {500, 25'000}, {500, 25'000}};
    return settings;
  }

  DirectClusterHooks Hooks() {
    DirectClusterHooks hooks;
    hooks.message_delay = [](const DirectLink&) { return kMilli; };
    hooks.entry_message_delays = [this](const EntryLink& link) {
      messages += link.message_bytes > 0 ? 1 : 0;
      message_bytes += link.message_bytes;
      return cut_.contains({link.from, link.to}) ? std::vector<Duration>()
                                                 : delays(link);
    };
    hooks.command_fate = [](uint32_t, bool) { return CommandFate{kMilli}; };
    hooks.answer_delay = [] { return kMilli; };
    hooks.plan_run = [this](uint32_t, const StartCommand& command) {
      return DirectUpstream::RunPlan{lengths_[JobOf(command.run)]};
    };
    hooks.started = [this](uint32_t, const StartCommand& command,
                           CommandResult result) {
      starts_[JobOf(command.run)] += result == CommandResult::kAccepted ? 1 : 0;
    };
    hooks.answered = [this](uint32_t, const AnswerJobEffect& answer) {
      cr_assert(answers_.emplace(answer.request, answer).second,
                "two answers to one request");
    };
    hooks.trace = [this](std::string_view line) { lines_.emplace_back(line); };
    return hooks;
  }

  static std::string JobOf(const TaskRun& run) {
    return run.task.substr(0, run.task.find('.'));
  }

  void ReportPressure() {
    loop_.After(50 * kMilli, [this] { ReportPressure(); });
    for (const auto& [n, pressure] : pressure_) {
      cluster_.SetPressure(n, pressure);
    }
  }

  void CheckRuns() {
    loop_.After(5 * kMilli, [this] { CheckRuns(); });
    for (const auto& [id, length] : lengths_) {
      cr_assert_leq(CountRuns(id), 1, "%s runs twice", id.c_str());
    }
  }

  EventLoop loop_;
  std::map<std::string, Duration> lengths_;
  std::map<std::string, uint32_t> starts_;
  std::map<uint64_t, AnswerJobEffect> answers_;
  std::vector<std::string> lines_;
  std::set<std::pair<uint32_t, uint32_t>> cut_;
  std::map<uint32_t, double> pressure_;
  uint64_t last_request_ = 0;
  DirectCluster cluster_;
};

}  // namespace

Test(job_handover, runs_at_the_target_and_is_answered_at_the_origin) {
  HandoverCluster c;
  const uint64_t request = c.HandOver("a", 100 * kMilli);
  cr_assert(c.Logged("entry-0", "job_handed_over"));
  cr_assert(c.Logged("entry-1", "job_taken_over"));
  cr_assert_eq(c.entry(kTarget).Status({}).handed_in_jobs, 1);
  c.RunFor(200 * kMilli);
  cr_assert_eq(c.Outcome(request), "completed");
  cr_assert_eq(c.starts("a"), 1);
  c.RunFor(200 * kMilli);
  cr_assert_eq(c.cluster().EntryStatus(kTarget).handed_in_jobs, 0);
}

// Guards against a message of its own for each step of a handover.
Test(job_handover, takes_few_messages_when_jobs_come_in_a_row) {
  HandoverCluster c;
  c.HandOver("a", 100 * kMilli);
  c.RunFor(300 * kMilli);
  c.messages = 0;
  c.message_bytes = 0;
  constexpr int kJobs = 40;
  std::vector<uint64_t> requests;
  for (int n = 0; n < kJobs; ++n) {
    requests.push_back(c.Submit(kOrigin, "j" + std::to_string(n), 60 * kMilli));
    c.RunFor(10 * kMilli);
  }
  c.RunFor(300 * kMilli);
  for (const uint64_t request : requests) {
    cr_assert_eq(c.Outcome(request), "completed");
  }
  cr_log_info("%.2f messages, %.0f bytes per job",
              static_cast<double>(c.messages) / kJobs,
              static_cast<double>(c.message_bytes) / kJobs);
  cr_assert_leq(c.messages, kJobs * 3);
}

// Guards against a run that outlives its caller's entry: the caller resends.
Test(job_handover, ends_before_the_caller_resends_when_the_origin_is_killed) {
  HandoverCluster c;
  c.HandOver("a", 2500 * kMilli);
  c.cluster().KillEntry(kOrigin, 5000 * kMilli, [] {});
  c.RunFor(kResendDelay - kMilli);
  cr_assert_not(c.IsRunning("a"));
  cr_assert(c.Logged("entry-1", "lease_expired"));
  const uint64_t request = c.Submit(kThird, "a", 100 * kMilli);
  c.RunFor(300 * kMilli);
  cr_assert_eq(c.Outcome(request), "completed");
}

Test(job_handover, ends_when_the_origin_is_paused) {
  HandoverCluster c;
  const uint64_t request = c.HandOver("a", 2500 * kMilli);
  c.cluster().PauseEntry(kOrigin, 1500 * kMilli);
  c.RunFor(300 * kMilli);
  cr_assert_not(c.IsRunning("a"));
  cr_assert_eq(c.Outcome(request), "none");
  // The resumed origin learns that the job was lost; it does not run it.
  c.RunFor(1500 * kMilli);
  cr_assert_eq(c.Outcome(request), "timed_out handover_lost");
  cr_assert_eq(c.starts("a"), 1);
}

// Guards against the loss of an outcome that is ready.
Test(job_handover, delivers_the_outcome_after_a_pause_of_the_origin) {
  HandoverCluster c;
  const uint64_t request = c.HandOver("a", 100 * kMilli);
  c.cluster().PauseEntry(kOrigin, 1800 * kMilli);
  c.RunFor(2000 * kMilli);
  cr_assert_eq(c.Outcome(request), "completed");
}

Test(job_handover, ends_when_the_link_is_cut) {
  HandoverCluster c;
  const uint64_t request = c.HandOver("a", 2500 * kMilli);
  c.CutBoth();
  c.RunFor(300 * kMilli);
  cr_assert_not(c.IsRunning("a"));
  // The origin answers only when nothing can run there any more.
  cr_assert_eq(c.Outcome(request), "none");
  c.RunFor(1200 * kMilli);
  cr_assert_eq(c.Outcome(request), "timed_out handover_lost");
  c.Heal();
  c.RunFor(1000 * kMilli);
  cr_assert_eq(c.starts("a"), 1);
}

Test(job_handover, ends_when_only_echoes_are_cut) {
  HandoverCluster c;
  const uint64_t request = c.HandOver("a", 2500 * kMilli);
  c.Cut(kOrigin, kTarget);
  c.RunFor(300 * kMilli);
  cr_assert_not(c.IsRunning("a"));
  cr_assert_eq(c.Outcome(request), "timed_out handover_lost");
}

Test(job_handover, survives_a_short_cut) {
  HandoverCluster c;
  const uint64_t request = c.HandOver("a", 400 * kMilli);
  c.CutBoth();
  c.RunFor(100 * kMilli);
  c.Heal();
  c.RunFor(500 * kMilli);
  cr_assert_eq(c.Outcome(request), "completed");
  cr_assert_eq(c.starts("a"), 1);
}

// Guards against a job that waits forever for a dead target.
Test(job_handover, is_answered_when_the_target_is_killed) {
  HandoverCluster c;
  const uint64_t request = c.HandOver("a", 2500 * kMilli);
  c.cluster().KillEntry(kTarget, 60'000 * kMilli, [] {});
  c.RunFor(1000 * kMilli);
  cr_assert_eq(c.Outcome(request), "none");
  c.RunFor(500 * kMilli);
  cr_assert_eq(c.Outcome(request), "timed_out handover_lost");
  cr_assert_not(c.IsRunning("a"));
  // New jobs stay here.
  const uint64_t next = c.Submit(kOrigin, "b", 100 * kMilli);
  c.RunFor(400 * kMilli);
  cr_assert_eq(c.Outcome(next), "completed");
}

Test(job_handover, is_answered_at_once_when_the_target_has_restarted) {
  HandoverCluster c;
  const uint64_t request = c.HandOver("a", 2500 * kMilli);
  c.cluster().KillEntry(kTarget, 100 * kMilli,
                        [&] { c.cluster().StartEntry(kTarget); });
  c.RunFor(300 * kMilli);
  cr_assert_eq(c.Outcome(request), "timed_out handover_lost");
  c.RunFor(1000 * kMilli);
  const uint64_t next = c.HandOver("b", 100 * kMilli);
  c.RunFor(300 * kMilli);
  cr_assert_eq(c.Outcome(next), "completed");
}

// Guards against a resumed target that restarts the runs which its sidecars
// have stopped meanwhile.
Test(job_handover, starts_nothing_after_a_pause_of_the_target) {
  HandoverCluster c;
  const uint64_t request = c.HandOver("a", 2500 * kMilli);
  c.cluster().PauseEntry(kTarget, 2000 * kMilli);
  c.RunFor(kResendDelay);
  cr_assert_not(c.IsRunning("a"));
  c.RunFor(2000 * kMilli);
  cr_assert_eq(c.Outcome(request), "timed_out handover_lost");
  cr_assert_eq(c.starts("a"), 1);
  cr_assert(c.Logged("entry-1", "lease_expired"));
}

Test(job_handover, starts_nothing_that_arrived_during_a_pause) {
  HandoverCluster c;
  const uint64_t first = c.HandOver("a", 60 * kMilli);
  c.RunFor(80 * kMilli);
  cr_assert_eq(c.Outcome(first), "completed");
  c.cluster().PauseEntry(kTarget, 2000 * kMilli);
  const uint64_t request = c.Submit(kOrigin, "b", 100 * kMilli, 1000 * kMilli);
  c.RunFor(1100 * kMilli);
  cr_assert_eq(c.Outcome(request), "timed_out time_limit");
  c.RunFor(2000 * kMilli);
  cr_assert_eq(c.starts("b"), 0);
}

// Guards against a delayed copy of a handover that starts the job again.
Test(job_handover, runs_once_when_messages_are_duplicated_and_reordered) {
  HandoverCluster c;
  c.delays = [](const EntryLink&) {
    return std::vector<Duration>{3 * kMilli, kMilli, 90 * kMilli, 400 * kMilli,
                                 1500 * kMilli};
  };
  for (int n = 0; n < 10; ++n) {
    const std::string id = "j" + std::to_string(n);
    const uint64_t request = c.Submit(kOrigin, id, 50 * kMilli);
    c.RunFor(250 * kMilli);
    cr_assert_eq(c.Outcome(request), "completed");
    cr_assert_eq(c.starts(id), 1);
  }
  c.RunFor(2000 * kMilli);
  for (int n = 0; n < 10; ++n) {
    cr_assert_eq(c.starts("j" + std::to_string(n)), 1);
  }
}

Test(job_handover, completes_when_a_third_of_the_messages_is_lost) {
  HandoverCluster c;
  std::mt19937 random(7);
  c.delays = [&](const EntryLink&) {
    return random() % 3 == 0 ? std::vector<Duration>()
                             : std::vector<Duration>{kMilli};
  };
  for (int k = 0; k < 10; ++k) {
    const std::string id = "j" + std::to_string(k);
    const uint64_t request = c.Submit(kOrigin, id, 100 * kMilli);
    c.RunFor(500 * kMilli);
    cr_assert_eq(c.Outcome(request), "completed");
    cr_assert_eq(c.starts(id), 1);
  }
}

Test(job_handover, stops_when_the_caller_leaves) {
  HandoverCluster c;
  const uint64_t request = c.HandOver("a", 2500 * kMilli);
  c.cluster().Disconnect(kOrigin, request);
  c.RunFor(100 * kMilli);
  cr_assert_not(c.IsRunning("a"));
  c.RunFor(300 * kMilli);
  cr_assert_eq(c.Outcome(request), "none");
  cr_assert_eq(c.cluster().EntryStatus(kTarget).handed_in_jobs, 0);
}

// Guards against an echo that renews the lease of a job whose withdrawal was
// lost.
Test(job_handover, ends_before_the_caller_resends_when_withdrawals_are_lost) {
  HandoverCluster c;
  const uint64_t request = c.HandOver("a", 2500 * kMilli);
  c.Cut(kOrigin, kTarget);
  c.cluster().Disconnect(kOrigin, request);
  c.RunFor(150 * kMilli);
  c.Heal();
  c.RunFor(100 * kMilli);
  cr_assert_not(c.IsRunning("a"));
}

Test(job_handover, is_cancelled_at_the_origin) {
  HandoverCluster c;
  const uint64_t request = c.HandOver("a", 2500 * kMilli);
  EntryEffects effects;
  cr_assert(c.entry(kOrigin).Cancel({}, "a", effects));
  const auto answer = std::ranges::find_if(effects, [](const auto& effect) {
    return std::holds_alternative<AnswerJobEffect>(effect);
  });
  cr_assert(answer != effects.end());
  cr_assert_eq(std::get<AnswerJobEffect>(*answer).request, request);
  cr_assert_eq(std::get<AnswerJobEffect>(*answer).outcome, JobOutcome::kFailed);
}

Test(job_handover, resent_job_joins_the_relay_at_the_origin) {
  HandoverCluster c;
  const uint64_t first = c.HandOver("a", 300 * kMilli);
  const uint64_t second = c.Submit(kOrigin, "a", 300 * kMilli);
  c.RunFor(50 * kMilli);
  c.cluster().Disconnect(kOrigin, first);
  c.RunFor(500 * kMilli);
  cr_assert_eq(c.Outcome(second), "completed");
  cr_assert_eq(c.starts("a"), 1);
}

Test(job_handover, resent_job_joins_the_run_at_the_target) {
  HandoverCluster c;
  c.HandOver("a", 700 * kMilli);
  const uint64_t second = c.Submit(kTarget, "a", 700 * kMilli);
  c.RunFor(50 * kMilli);
  // The job now has a caller at the target, who needs no lease.
  c.cluster().KillEntry(kOrigin, 5000 * kMilli, [] {});
  c.RunFor(800 * kMilli);
  cr_assert_eq(c.Outcome(second), "completed");
  cr_assert_eq(c.starts("a"), 1);
}

// Guards against a job that goes on when both the origin and the caller at the
// target are gone.
Test(job_handover, ends_when_the_last_of_several_requests_is_gone) {
  HandoverCluster c;
  c.HandOver("a", 2500 * kMilli);
  const uint64_t second = c.Submit(kTarget, "a", 2500 * kMilli);
  c.RunFor(50 * kMilli);
  c.cluster().KillEntry(kOrigin, 5000 * kMilli, [] {});
  c.RunFor(400 * kMilli);
  cr_assert(c.IsRunning("a"));
  c.cluster().Disconnect(kTarget, second);
  c.RunFor(100 * kMilli);
  cr_assert_not(c.IsRunning("a"));
}

Test(job_handover, job_resent_to_a_third_entry_joins_the_run_at_the_target) {
  HandoverCluster c;
  const uint64_t first = c.HandOver("a", 700 * kMilli);
  // The third entry is saturated as well. It keeps its first job.
  c.Submit(kThird, "kept", 10 * kMilli);
  c.RunFor(50 * kMilli);
  const uint64_t second = c.Submit(kThird, "a", 700 * kMilli);
  c.RunFor(900 * kMilli);
  cr_assert_eq(c.Outcome(first), "completed");
  cr_assert_eq(c.Outcome(second), "completed");
  cr_assert_eq(c.starts("a"), 1);
}

Test(job_handover, stopping_target_finishes_its_jobs_and_takes_no_more) {
  HandoverCluster c;
  const uint64_t first = c.HandOver("a", 300 * kMilli);
  c.entry(kTarget).BeginStop();
  const uint64_t second = c.Submit(kOrigin, "b", 100 * kMilli);
  c.RunFor(200 * kMilli);
  cr_assert(c.Logged("handover_declined", "stopping"));
  cr_assert_eq(c.Outcome(second), "completed");
  cr_assert_eq(c.cluster().EntryStatus(kTarget).handed_in_jobs, 1);
  c.RunFor(300 * kMilli);
  cr_assert_eq(c.Outcome(first), "completed");
  cr_assert_eq(c.cluster().EntryStatus(kTarget).handed_in_jobs, 0);
}

// An outcome that has not arrived at the origin holds up the end of the target.
Test(job_handover, stopping_target_waits_for_the_acknowledgement) {
  HandoverCluster c;
  const uint64_t request = c.HandOver("a", 100 * kMilli);
  c.Cut(kTarget, kOrigin);
  c.RunFor(130 * kMilli);
  cr_assert_eq(c.Outcome(request), "none");
  cr_assert_eq(c.cluster().EntryStatus(kTarget).handed_in_jobs, 1);
  c.Heal();
  c.RunFor(300 * kMilli);
  cr_assert_eq(c.Outcome(request), "completed");
  cr_assert_eq(c.cluster().EntryStatus(kTarget).handed_in_jobs, 0);
}

Test(job_handover, declined_job_runs_at_the_origin) {
  HandoverCluster c;
  ControlPosition newer;
  newer.version = 2;
  c.entry(kTarget).SetControlPosition(newer);
  const uint64_t request = c.Submit(kOrigin, "a", 100 * kMilli);
  c.RunFor(300 * kMilli);
  cr_assert(c.Logged("handover_declined", "other_configuration"));
  cr_assert_eq(c.Outcome(request), "completed");
  cr_assert_eq(c.starts("a"), 1);
}

// Guards against a job that goes round between saturated entries.
Test(job_handover, saturated_target_hands_nothing_on) {
  HandoverCluster c;
  c.SetPressure(kThird, 0.1);
  c.SetPressure(kTarget, 1);
  c.RunFor(55 * kMilli);
  const uint64_t request = c.Submit(kOrigin, "a", 100 * kMilli);
  c.RunFor(400 * kMilli);
  cr_assert_eq(c.Outcome(request), "completed");
  cr_assert_eq(c.starts("a"), 1);
}

// Guards against handovers in a deployment whose entries are alike.
Test(job_handover, is_off_without_load_sharing) {
  HandoverCluster c;
  c.entry(kOrigin).SetLoadSharing(false);
  for (int n = 0; n < 5; ++n) {
    c.Submit(kOrigin, "j" + std::to_string(n), 50 * kMilli);
    c.RunFor(100 * kMilli);
  }
  cr_assert_not(c.Logged("job_handed_over", "\"j"));
}

// Jobs that wait here for an entry that is late need not wait longer.
Test(job_handover, waiting_job_is_handed_over_if_no_task_was_offered) {
  HandoverCluster c;
  c.SetPressure(kOrigin, 0.1);
  c.RunFor(60 * kMilli);
  for (int n = 0; n < 8; ++n) {
    c.Submit(kOrigin, "j" + std::to_string(n), 600 * kMilli);
  }
  c.RunFor(50 * kMilli);
  const uint64_t request = c.Submit(kOrigin, "w", 100 * kMilli);
  c.RunFor(50 * kMilli);
  c.SetPressure(kOrigin, 1);
  c.RunFor(150 * kMilli);
  cr_assert(c.Logged("job_handed_over", "\"w\""));
  cr_assert(c.Logged("job_handed_over", "\"waiting\""));
  c.RunFor(1000 * kMilli);
  cr_assert_eq(c.Outcome(request), "completed");
  cr_assert_eq(c.starts("w"), 1);
}

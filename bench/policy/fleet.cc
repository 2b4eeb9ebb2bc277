#include "bench/policy/fleet.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <utility>

#include "bench/policy/entry_policy.h"
#include "bench/policy/event_loop.h"
#include "bench/policy/executor.h"

namespace filbertwick::bench {
namespace {

/// Interval between load reports of a sidecar to one entry.
constexpr Duration kReportInterval = std::chrono::milliseconds(125);
/// Additional delay of load reports under Fault::kLateLoad.
constexpr Duration kLateLoad = std::chrono::milliseconds(500);
/// Time until the other entries own the jobs of a lost entry.
constexpr Duration kTakeoverDelay = std::chrono::seconds(2);
/// Time after the last arrival during which jobs may still end.
constexpr Duration kDrainTime = std::chrono::seconds(70);
/// Index of the executor, the entry or the zone that a fault affects.
constexpr uint32_t kFaultTarget = 0;

enum class Phase : uint8_t { kWaiting, kPlaced, kStarted, kEnded };

struct TaskRun {
  Phase phase = Phase::kWaiting;
  uint32_t upstream = 0;
};

struct JobRun {
  size_t arrival = 0;
  uint32_t entry = 0;
  std::vector<TaskRun> tasks;
  size_t unfinished = 0;
  /// Tasks at a sidecar or in transit to or from it.
  size_t placed = 0;
  double window_work = 0;
  bool over = false;
};

struct Entry {
  std::unique_ptr<EntryPolicy> policy;
  Instant wakeup = Instant::max();
};

class Fleet {
 public:
  Fleet(std::string_view policy,
        const Deployment& deployment,
        const std::vector<JobArrival>& jobs,
        Fault fault,
        uint64_t seed)
      : deployment_(deployment),
        jobs_(jobs),
        fault_(fault),
        window_(WorkWindow(deployment, fault)) {
    for (uint32_t i = 0; i < deployment.entries; ++i) {
      entries_.push_back({MakeEntryPolicy(policy, deployment, i, seed)});
    }
    for (uint32_t i = 0; i < deployment.executors; ++i) {
      AddExecutor(i);
    }
  }

  Figures Run() {
    figures_.capacity = WindowCapacity(deployment_, fault_);
    for (size_t i = 0; i < jobs_.size(); ++i) {
      const Duration latency = RequestLatency(i);
      loop_.Post(jobs_[i].at + latency, [this, i] { Submit(i); });
      ++open_jobs_;
    }
    PostReports();
    PostFault();
    loop_.RunUntil(Instant(deployment_.length + kDrainTime));
    for (const auto& executor : executors_) {
      figures_.starts += executor->starts();
    }
    return std::move(figures_);
  }

 private:
  bool ignores_queue_limit() const {
    return entries_[0].policy->ignores_queue_limit();
  }

  Duration Distance(uint32_t entry, uint32_t executor) const {
    const uint32_t zone = entry % deployment_.zones;
    return zone == ZoneOf(deployment_, executor) ? deployment_.same_zone
                                                 : deployment_.between_zones;
  }

  /// Returns the one-way latency from the caller to the owner. The load
  /// balancer picks the owner directly for one of `entries` jobs; the others
  /// are forwarded between zones.
  Duration RequestLatency(size_t arrival) const {
    const bool direct = arrival % deployment_.entries == 0;
    return deployment_.client +
           (direct ? Duration(0) : deployment_.between_zones);
  }

  void AddExecutor(uint32_t number) {
    Executor::Behaviour behaviour{
        .queue = ignores_queue_limit() ? std::numeric_limits<size_t>::max()
                                       : deployment_.queue,
        .slots = deployment_.slots};
    if (number == kFaultTarget) {
      behaviour.speed = fault_ == Fault::kSlow ? 0.1 : 1.0;
    }
    executors_.push_back(std::make_unique<Executor>(
        loop_, behaviour,
        [this](const TaskRef& task) {
          const JobArrival& job = jobs_[runs_[task.job].arrival];
          return Executor::Execution{job.run_times[task.index], job.poison};
        },
        [this, number](uint32_t entry, std::vector<TaskReport> reports) {
          SendTaskReports(number, entry, std::move(reports));
        }));
  }

  void PostReports() {
    if (ignores_queue_limit()) {
      return;
    }
    for (uint32_t entry = 0; entry < deployment_.entries; ++entry) {
      for (uint32_t i = 0; i < deployment_.executors; ++i) {
        const uint32_t number = entry * deployment_.executors + i;
        const Duration phase(uint64_t{number} * 7919 % kReportInterval.count());
        loop_.Post(Instant(phase), [this, entry, i] { ReportLoad(entry, i); });
      }
    }
  }

  void ReportLoad(uint32_t entry, uint32_t executor) {
    SendLoad(executor, entry);
    if (open_jobs_ > 0) {
      loop_.Post(loop_.now() + kReportInterval,
                 [this, entry, executor] { ReportLoad(entry, executor); });
    }
  }

  void SendLoad(uint32_t executor, uint32_t entry) {
    const Duration late = fault_ == Fault::kLateLoad ? kLateLoad : Duration(0);
    loop_.Post(loop_.now() + Distance(entry, executor) + late,
               [this, executor, entry, load = executors_[executor]->load()] {
                 if (IsLost(entry)) {
                   return;
                 }
                 entries_[entry].policy->UpdateLoad(executor, load,
                                                    loop_.now());
                 SendDecisions(entry);
               });
  }

  void SendTaskReports(uint32_t executor,
                       uint32_t entry,
                       std::vector<TaskReport> reports) {
    ++figures_.messages;
    loop_.Post(loop_.now() + Distance(entry, executor),
               [this, executor, entry, reports = std::move(reports),
                load = executors_[executor]->load()] {
                 if (IsLost(entry)) {
                   return;
                 }
                 for (const TaskReport& it : reports) {
                   OnTaskReport(executor, entry, it);
                 }
                 if (fault_ != Fault::kLateLoad) {
                   entries_[entry].policy->UpdateLoad(executor, load,
                                                      loop_.now());
                 }
                 SendDecisions(entry);
               });
    if (fault_ == Fault::kLateLoad) {
      SendLoad(executor, entry);
    }
  }

  void PostFault() {
    if (fault_ == Fault::kZone) {
      loop_.Post(kFaultStart, [this] { SetZoneOut(true); });
      loop_.Post(kFaultEnd, [this] { SetZoneOut(false); });
    }
    const bool fails = fault_ == Fault::kFail;
    const bool hangs = fault_ == Fault::kHang;
    if (fails || hangs) {
      loop_.Post(kFaultStart, [this, fails, hangs] {
        executors_[kFaultTarget]->Break(fails, hangs);
      });
    }
    if (fault_ == Fault::kEntryLost) {
      loop_.Post(kFaultStart, [this] { LoseEntry(); });
      loop_.Post(kFaultStart + kTakeoverDelay, [this] {
        const uint32_t left = deployment_.entries - 1;
        for (uint32_t i = 1; i <= left; ++i) {
          entries_[i].policy->SetEntrySharing(left, i - 1);
          SendDecisions(i);
        }
      });
    }
  }

  void SetZoneOut(bool out) {
    for (uint32_t i = 0; i < deployment_.executors; ++i) {
      // Upstreams behind a conventional proxy don't return queued requests.
      if (ZoneOf(deployment_, i) == kFaultTarget && !ignores_queue_limit()) {
        executors_[i]->SetZoneOut(out);
      }
    }
    for (uint32_t entry = 0; entry < deployment_.entries; ++entry) {
      entries_[entry].policy->SetZoneOut(kFaultTarget, out, loop_.now());
      SendDecisions(entry);
    }
  }

  bool IsLost(uint32_t entry) const {
    return fault_ == Fault::kEntryLost && entry == kFaultTarget &&
           loop_.now() >= kFaultStart;
  }

  void LoseEntry() {
    for (JobRun& run : runs_) {
      if (run.entry == kFaultTarget && !run.over) {
        run.over = true;
        ++figures_.failed;
        --open_jobs_;
      }
    }
  }

  void Submit(size_t arrival) {
    ++figures_.jobs;
    figures_.tasks += jobs_[arrival].run_times.size();
    Receive(arrival, jobs_[arrival].entry);
  }

  /// Handles the arrival of a job, new or resubmitted, at its owner.
  void Receive(size_t arrival, uint32_t entry) {
    const JobArrival& job = jobs_[arrival];
    if (IsLost(entry)) {
      const uint32_t next = 1 + arrival % (deployment_.entries - 1);
      loop_.Post(std::max(loop_.now(), kFaultStart + kTakeoverDelay),
                 [this, arrival, next] { Receive(arrival, next); });
      return;
    }
    EntryPolicy& policy = *entries_[entry].policy;
    const core::policy::Admission admission = policy.Admit(job, loop_.now());
    if (admission.reason != wire::Reason::kNone) {
      Refuse(arrival, entry, admission);
      return;
    }
    const JobHandle handle = runs_.size();
    runs_.push_back({.arrival = arrival,
                     .entry = entry,
                     .tasks = std::vector<TaskRun>(job.run_times.size()),
                     .unfinished = job.run_times.size()});
    policy.AddJob(handle, job, loop_.now());
    loop_.Post(loop_.now() + job.deadline, [this, handle] {
      if (!runs_[handle].over) {
        ++figures_.past_deadline;
        CountResponse(runs_[handle]);
        Stop(handle);
      }
    });
    if (job.cancel) {
      loop_.Post(*job.cancel, [this, handle] {
        if (!runs_[handle].over) {
          Stop(handle);
        }
      });
    }
    SendDecisions(entry);
  }

  void Refuse(size_t arrival,
              uint32_t entry,
              const core::policy::Admission& admission) {
    ++figures_.refused;
    const Duration latency = RequestLatency(arrival);
    if (fault_ == Fault::kResubmit) {
      loop_.Post(loop_.now() + 2 * latency + admission.retry_after,
                 [this, arrival, entry] { Receive(arrival, entry); });
      return;
    }
    figures_.slowest_refusal = std::max(
        figures_.slowest_refusal, loop_.now() + latency - jobs_[arrival].at);
    --open_jobs_;
  }

  /// Sends the offers and withdrawals that the policy has decided and schedules
  /// the next wake-up.
  void SendDecisions(uint32_t number) {
    Entry& entry = entries_[number];
    std::map<uint32_t, std::vector<TaskRef>> offers;
    while (const auto it = entry.policy->NextPlacement(loop_.now())) {
      JobRun& run = runs_[it->task.job];
      run.tasks[it->task.index] = {Phase::kPlaced, it->upstream};
      ++run.placed;
      offers[it->upstream].push_back(it->task);
    }
    for (auto& [upstream, tasks] : offers) {
      ++figures_.messages;
      loop_.Post(loop_.now() + Distance(number, upstream),
                 [this, number, upstream, tasks = std::move(tasks)] {
                   executors_[upstream]->OnOffers(number, tasks);
                 });
    }
    Withdraw(number, entry.policy->TakeWithdrawals(loop_.now()), false);
    figures_.ejections += entry.policy->TakeEjections();
    const Instant next = entry.policy->NextWakeup(loop_.now());
    if (next < entry.wakeup && open_jobs_ > 0) {
      entry.wakeup = std::max(next, loop_.now() + Duration(1));
      loop_.Post(entry.wakeup, [this, number, at = entry.wakeup] {
        if (entries_[number].wakeup == at && !IsLost(number)) {
          entries_[number].wakeup = Instant::max();
          SendDecisions(number);
        }
      });
    }
  }

  void Withdraw(uint32_t entry, const std::vector<TaskRef>& tasks, bool stop) {
    std::map<uint32_t, std::vector<TaskRef>> messages;
    for (const TaskRef& task : tasks) {
      const TaskRun& run = runs_[task.job].tasks[task.index];
      messages[run.upstream].push_back(task);
    }
    for (auto& [upstream, list] : messages) {
      ++figures_.messages;
      figures_.wasted += stop ? 0 : list.size();
      loop_.Post(loop_.now() + Distance(entry, upstream),
                 [this, entry, upstream, stop, list = std::move(list)] {
                   executors_[upstream]->OnWithdraw(entry, list, stop);
                 });
    }
  }

  void OnTaskReport(uint32_t executor,
                    uint32_t entry,
                    const TaskReport& report) {
    EntryPolicy& policy = *entries_[entry].policy;
    JobRun& run = runs_[report.task.job];
    TaskRun& task = run.tasks[report.task.index];
    if (!report.end) {
      task.phase = Phase::kStarted;
      policy.OnStarted(report.task, loop_.now());
      return;
    }
    --run.placed;
    if (fault_ == Fault::kFail && executor == kFaultTarget &&
        loop_.now() >= kFaultStart &&
        *report.end == PlacementOutcome::kFailed &&
        !policy.IsEjected(executor)) {
      ++figures_.lost_to_failing;
    }
    policy.OnEnded(report.task, executor, *report.end, report.run_time,
                   loop_.now());
    if (*report.end == PlacementOutcome::kNotStarted) {
      // The offer and its return are both wasted messages.
      figures_.wasted += 2;
      task.phase = Phase::kWaiting;
      if (!run.over) {
        policy.AddTask(report.task, loop_.now());
      }
    } else {
      task.phase = Phase::kEnded;
      OnTaskEnd(report);
    }
    if (run.over && run.placed == 0) {
      policy.RemoveJob(report.task.job);
    }
  }

  void OnTaskEnd(const TaskReport& report) {
    JobRun& run = runs_[report.task.job];
    if (run.over) {
      return;
    }
    if (*report.end != PlacementOutcome::kSucceeded) {
      ++figures_.failed;
      Stop(report.task.job);
      return;
    }
    if (window_.Contains(loop_.now())) {
      const JobArrival& job = jobs_[run.arrival];
      run.window_work +=
          std::chrono::duration<double>(job.run_times[report.task.index])
              .count();
    }
    if (--run.unfinished == 0) {
      Complete(run);
    }
  }

  void Complete(JobRun& run) {
    run.over = true;
    --open_jobs_;
    ++figures_.complete;
    figures_.useful_work += run.window_work;
    CountResponse(run);
  }

  /// Records the slowdown of a job that completed or reached its deadline now.
  void CountResponse(const JobRun& run) {
    const JobArrival& job = jobs_[run.arrival];
    if (job.at < kWarmUpEnd) {
      return;
    }
    const Duration response =
        loop_.now() + RequestLatency(run.arrival) - job.at;
    const double slowdown = std::chrono::duration<double>(response) /
                            std::chrono::duration<double>(job.ideal);
    if (fault_ == Fault::kGreedyTeam && job.team == 0) {
      figures_.greedy.push_back(slowdown);
      return;
    }
    (job.urgent ? figures_.urgent : figures_.bulk).push_back(slowdown);
  }

  /// Ends an incomplete job: withdraws its placed tasks and stops running ones.
  void Stop(JobHandle handle) {
    JobRun& run = runs_[handle];
    run.over = true;
    --open_jobs_;
    EntryPolicy& policy = *entries_[run.entry].policy;
    std::vector<TaskRef> placed;
    for (uint32_t i = 0; i < run.tasks.size(); ++i) {
      const TaskRef task{handle, i};
      if (run.tasks[i].phase == Phase::kWaiting) {
        policy.RemoveTask(task);
      } else if (run.tasks[i].phase != Phase::kEnded) {
        placed.push_back(task);
      }
    }
    Withdraw(run.entry, placed, true);
    if (run.placed == 0) {
      policy.RemoveJob(handle);
    }
  }

  const Deployment& deployment_;
  const std::vector<JobArrival>& jobs_;
  Fault fault_;
  Window window_;
  EventLoop loop_;
  std::vector<Entry> entries_;
  std::vector<std::unique_ptr<Executor>> executors_;
  std::deque<JobRun> runs_;
  uint64_t open_jobs_ = 0;
  Figures figures_;
};

}  // namespace

Figures RunFleet(std::string_view policy,
                 const Deployment& deployment,
                 const std::vector<JobArrival>& jobs,
                 Fault fault,
                 uint64_t seed) {
  return Fleet(policy, deployment, jobs, fault, seed).Run();
}

}  // namespace filbertwick::bench

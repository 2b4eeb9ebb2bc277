#include "bench/policy/ideal.h"

#include <algorithm>
#include <functional>
#include <set>

#include "bench/policy/event_loop.h"

namespace filbertwick::bench {
namespace {

class Ideal {
 public:
  Ideal(const Deployment& deployment,
        const std::vector<JobArrival>& jobs,
        Fault fault)
      : deployment_(deployment),
        jobs_(jobs),
        fault_(fault),
        window_(WorkWindow(deployment, fault)),
        runs_(jobs.size()),
        free_(static_cast<int64_t>(deployment.total_slots())) {}

  Figures Run() {
    figures_.capacity = WindowCapacity(deployment_, fault_);
    for (size_t i = 0; i < jobs_.size(); ++i) {
      loop_.Post(jobs_[i].at, [this, i] { Arrive(i); });
    }
    PostFault();
    loop_.RunUntil(Instant::max());
    return std::move(figures_);
  }

 private:
  struct JobRun {
    /// Run times of the tasks that have not started, ascending.
    std::vector<Duration> waiting;
    Duration remaining{0};
    size_t unfinished = 0;
    double window_work = 0;
    bool over = false;
  };

  void PostFault() {
    if (fault_ == Fault::kSlow) {
      free_ -= deployment_.slots;
    }
    if (fault_ == Fault::kFail || fault_ == Fault::kHang) {
      loop_.Post(kFaultStart, [this] { free_ -= deployment_.slots; });
    }
    if (fault_ == Fault::kZone) {
      const uint32_t out =
          (deployment_.executors + deployment_.zones - 1) / deployment_.zones;
      const int64_t slots = int64_t{out} * deployment_.slots;
      // Running tasks finish. `free_` may be negative until enough of them have
      // ended to release the lost slots.
      loop_.Post(kFaultStart, [this, slots] { free_ -= slots; });
      loop_.Post(kFaultEnd, [this, slots] {
        free_ += slots;
        Start();
      });
    }
  }

  void Arrive(size_t i) {
    const JobArrival& job = jobs_[i];
    ++figures_.jobs;
    figures_.tasks += job.run_times.size();
    if (job.poison) {
      ++figures_.failed;
      return;
    }
    JobRun& run = runs_[i];
    run.waiting = job.run_times;
    std::ranges::sort(run.waiting);
    run.remaining = job.work();
    run.unfinished = run.waiting.size();
    order_.emplace(run.remaining, i);
    if (job.cancel) {
      loop_.Post(*job.cancel, [this, i] { Cancel(i); });
    }
    Start();
  }

  void Cancel(size_t i) {
    JobRun& run = runs_[i];
    if (run.over) {
      return;
    }
    // Running tasks stop at once; End() ignores their later end events because
    // the job is over.
    run.over = true;
    order_.erase({run.remaining, i});
    free_ += static_cast<int64_t>(run.unfinished - run.waiting.size());
    Start();
  }

  void Start() {
    while (free_ > 0 && !order_.empty()) {
      const size_t i = order_.begin()->second;
      JobRun& run = runs_[i];
      order_.erase(order_.begin());
      const Duration run_time = run.waiting.back();
      run.waiting.pop_back();
      run.remaining -= run_time;
      if (!run.waiting.empty()) {
        order_.emplace(run.remaining, i);
      }
      --free_;
      ++figures_.starts;
      loop_.Post(loop_.now() + run_time,
                 [this, i, run_time] { End(i, run_time); });
    }
  }

  void End(size_t i, Duration run_time) {
    JobRun& run = runs_[i];
    if (run.over) {
      return;
    }
    ++free_;
    if (window_.Contains(loop_.now())) {
      run.window_work += std::chrono::duration<double>(run_time).count();
    }
    if (--run.unfinished == 0) {
      Complete(i);
    }
    Start();
  }

  void Complete(size_t i) {
    JobRun& run = runs_[i];
    const JobArrival& job = jobs_[i];
    run.over = true;
    ++figures_.complete;
    figures_.useful_work += run.window_work;
    if (job.at < kWarmUpEnd) {
      return;
    }
    const double slowdown =
        std::chrono::duration<double>(loop_.now() - job.at) /
        std::chrono::duration<double>(job.ideal);
    (job.urgent ? figures_.urgent : figures_.bulk).push_back(slowdown);
  }

  const Deployment& deployment_;
  const std::vector<JobArrival>& jobs_;
  Fault fault_;
  Window window_;
  EventLoop loop_;
  std::vector<JobRun> runs_;
  /// Jobs with waiting tasks, ordered by remaining work.
  std::set<std::pair<Duration, size_t>> order_;
  int64_t free_;
  Figures figures_;
};

}  // namespace

Figures RunIdeal(const Deployment& deployment,
                 const std::vector<JobArrival>& jobs,
                 Fault fault) {
  return Ideal(deployment, jobs, fault).Run();
}

}  // namespace filbertwick::bench

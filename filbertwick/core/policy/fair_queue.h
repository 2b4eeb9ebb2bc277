#ifndef FILBERTWICK_CORE_POLICY_FAIR_QUEUE_H_
#define FILBERTWICK_CORE_POLICY_FAIR_QUEUE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

#include "filbertwick/base/hash.h"
#include "filbertwick/base/time.h"
#include "filbertwick/bundle/bundle.h"
#include "filbertwick/core/policy/policy_settings.h"
#include "filbertwick/core/policy/task_ref.h"

namespace filbertwick::core::policy {

/// Index of a team, assigned consecutively from 0 by the owner of the queue.
using TeamId = uint32_t;

/// Properties of a job that determine its order in the queue.
struct QueuedJob {
  TeamId team = 0;
  bundle::DeadlineClass deadline_class = bundle::DeadlineClass::kUrgent;
  /// Expected run time of one of its tasks.
  Duration task_run_time{0};
  /// Tasks that have not ended, waiting or not.
  uint32_t unfinished = 0;
  Instant arrival;
};

/// Waiting tasks of one service in the order in which they are placed. Urgent
/// jobs go before bulk jobs, which still get a fixed share of the placements.
/// Within a class the job with the least sum of three terms goes first: its
/// remaining work, its arrival time (aging) and its team's virtual time
/// (weighted fair queueing). Each operation takes time logarithmic in the
/// number of waiting jobs and teams. Deterministic.
class FairQueue {
 public:
  explicit FairQueue(const QueueSettings& settings);

  /// Sets the weight of a team's share; 1 by default. 0 counts as 1.
  void SetWeight(TeamId team, uint32_t weight);

  /// Registers a job without waiting tasks.
  void AddJob(JobHandle job, const QueuedJob& info);
  /// Removes a job and its waiting tasks.
  void RemoveJob(JobHandle job);
  /// Adds a waiting task; no effect when it waits already. With `front` it goes
  /// before the job's other tasks.
  void AddTask(const TaskRef& task, bool front);
  /// Removes a waiting task; false when it does not wait.
  bool RemoveTask(const TaskRef& task);
  /// Updates the remaining work of a job: its unfinished tasks and the expected
  /// run time of one task.
  void Update(JobHandle job, uint32_t unfinished, Duration task_run_time);

  /// The next task, without removing it; with `urgent_only` the next task of an
  /// urgent job.
  std::optional<TaskRef> Peek(bool urgent_only = false) const;
  /// Removes and returns the task that Peek() returns, and adds its expected
  /// run time to the virtual time of its team.
  std::optional<TaskRef> Pop(bool urgent_only = false);

  /// Number of waiting tasks.
  uint64_t size() const { return size_; }
  /// Number of waiting tasks of one class.
  uint64_t size(bundle::DeadlineClass deadline_class) const;
  /// Expected total run time of the waiting tasks that precede a new job of
  /// this class with `work` as its expected total run time. An estimate:
  /// ignores aging, team shares and bulk_interval, and also counts the jobs
  /// whose remaining work has the same binary logarithm, rounded down, as
  /// `work`.
  Duration WorkAhead(bundle::DeadlineClass deadline_class, Duration work) const;

  /// Adds the queue's state to a digest.
  void Hash(Hasher& hasher) const;

 private:
  struct Job {
    QueuedJob info;
    /// Waiting tasks in order, as pairs of position and task index.
    std::set<std::pair<int64_t, uint32_t>> tasks;
    /// Position of each waiting task, by task index.
    std::unordered_map<uint32_t, int64_t> positions;
    /// Order key among the jobs of the team; see JobKey().
    double key = 0;
  };
  /// Jobs of one team and class with waiting tasks, least key first.
  struct TeamQueue {
    std::set<std::pair<double, JobHandle>> jobs;
    /// Expected run time of the placed tasks in microseconds, divided by the
    /// team's weight; see also ClassQueue::virtual_time.
    double virtual_time = 0;
    /// Order key among the teams of the class.
    double key = 0;
  };
  /// Waiting tasks of one deadline class.
  struct ClassQueue {
    std::map<TeamId, TeamQueue> teams;
    /// Teams with waiting tasks, least key first.
    std::set<std::pair<double, TeamId>> order;
    /// The same teams, by virtual time.
    std::set<std::pair<double, TeamId>> by_virtual_time;
    /// Least virtual time of the waiting teams, never decreasing. The virtual
    /// time of a team that starts to wait is raised to this value if it is
    /// lower.
    double virtual_time = 0;
    uint64_t size = 0;
    /// Expected run time of the waiting tasks in microseconds, by WorkBucket()
    /// of the remaining work of their jobs.
    std::array<int64_t, 64> work{};
  };

  ClassQueue& ClassQueueOf(const Job& job);
  double JobKey(const Job& job) const;
  void Enqueue(JobHandle handle, Job& job);
  void Dequeue(JobHandle handle, Job& job);
  void InsertTeam(ClassQueue& class_queue, TeamId team);
  void EraseTeam(ClassQueue& class_queue, TeamId team);
  /// Adds `tasks` waiting tasks of the job to the sums; negative subtracts.
  void AddWaitingTasks(const Job& job, int64_t tasks);
  /// Binary logarithm of `work` in microseconds, rounded down; 0 for less than
  /// 1.
  static size_t WorkBucket(int64_t work);
  const ClassQueue* NextClassQueue() const;

  QueueSettings settings_;
  std::array<ClassQueue, 2> class_queues_;
  std::unordered_map<JobHandle, Job> jobs_;
  std::map<TeamId, uint32_t> weights_;
  uint64_t size_ = 0;
  /// Positions of the tasks added last at the back and at the front of jobs.
  int64_t back_position_ = 0;
  int64_t front_position_ = 0;
  /// Consecutive urgent placements while bulk tasks waited.
  uint32_t consecutive_urgent_ = 0;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_FAIR_QUEUE_H_

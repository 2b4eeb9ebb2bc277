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

/// Dense number of a team, given by the queue's user.
using TeamId = uint32_t;

/// What the queue must know of a job.
struct QueuedJob {
  TeamId team = 0;
  bundle::DeadlineClass deadline_class = bundle::DeadlineClass::kUrgent;
  /// Expected run time of one of its tasks.
  Duration task_run_time{0};
  /// Tasks not ended yet, waiting or not.
  uint32_t unfinished = 0;
  Instant arrival;
};

/// Waiting tasks of one service in the order in which they get places: by
/// deadline class, then by the least sum of the job's remaining work, its
/// arrival (ageing) and its team's use (weighted fair shares). Each operation
/// is logarithmic in waiting jobs and teams. Deterministic.
class FairQueue {
 public:
  explicit FairQueue(const QueueSettings& settings);

  /// Sets the share of a team against others; 1 until set.
  void SetWeight(TeamId team, uint32_t weight);

  /// Registers a job without waiting tasks.
  void AddJob(JobHandle job, const QueuedJob& info);
  /// Forgets a job and its waiting tasks.
  void RemoveJob(JobHandle job);
  /// Adds a waiting task; a task that waits already stays as it is. With
  /// `front` it goes before the job's others.
  void AddTask(const TaskRef& task, bool front);
  /// Takes a waiting task out; false when it does not wait.
  bool RemoveTask(const TaskRef& task);
  /// Changes what is known of a job's remaining work.
  void Update(JobHandle job, uint32_t unfinished, Duration task_run_time);

  /// The task that goes next, without taking it; with `urgent_only` the next
  /// of the urgent class.
  std::optional<TaskRef> Peek(bool urgent_only = false) const;
  /// Takes the task that Peek() gives and charges its team.
  std::optional<TaskRef> Pop(bool urgent_only = false);

  /// Waiting tasks.
  uint64_t size() const { return size_; }
  /// Waiting tasks of one class.
  uint64_t size(bundle::DeadlineClass deadline_class) const;
  /// Expected run time of all waiting tasks that would go before a new job of
  /// this class and expected work; ageing and teams are left out.
  Duration WorkAhead(bundle::DeadlineClass deadline_class, Duration work) const;

  /// Adds the queue's state to a digest.
  void Hash(Hasher& hasher) const;

 private:
  struct Job {
    QueuedJob info;
    /// Waiting task indices in order.
    std::set<std::pair<int64_t, uint32_t>> tasks;
    /// Order key of each waiting task by its index.
    std::unordered_map<uint32_t, int64_t> positions;
    double key = 0;
  };
  /// Jobs of one team and class with waiting tasks, least key first.
  struct TeamQueue {
    std::set<std::pair<double, JobHandle>> jobs;
    /// Work got, by weight, in the class's virtual time.
    double virtual_time = 0;
    double key = 0;
  };
  /// One deadline class.
  struct ClassQueue {
    std::map<TeamId, TeamQueue> teams;
    /// Teams with waiting tasks, least key first.
    std::set<std::pair<double, TeamId>> order;
    /// The same teams by their virtual time.
    std::set<std::pair<double, TeamId>> by_time;
    /// The least virtual time of teams that waited last.
    double virtual_time = 0;
    uint64_t size = 0;
    /// Waiting work by the logarithm of its job's remaining work.
    std::array<int64_t, 64> work{};
  };

  ClassQueue& ClassQueueOf(const Job& job);
  double JobKey(const Job& job) const;
  void Enqueue(JobHandle handle, Job& job);
  void Dequeue(JobHandle handle, Job& job);
  void InsertTeam(ClassQueue& class_queue, TeamId team);
  void EraseTeam(ClassQueue& class_queue, TeamId team);
  void AddWaitingTasks(const Job& job, int64_t tasks);
  static size_t WorkBucket(int64_t work);
  const ClassQueue* NextClassQueue() const;

  QueueSettings settings_;
  std::array<ClassQueue, 2> class_queues_;
  std::unordered_map<JobHandle, Job> jobs_;
  std::map<TeamId, uint32_t> weights_;
  uint64_t size_ = 0;
  int64_t back_position_ = 0;
  int64_t front_position_ = 0;
  /// Urgent placements since the last bulk one while both waited.
  uint32_t consecutive_urgent_ = 0;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_FAIR_QUEUE_H_

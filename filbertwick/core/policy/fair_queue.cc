#include "filbertwick/core/policy/fair_queue.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <numeric>
#include <utility>

namespace filbertwick::core::policy {

using bundle::DeadlineClass;

FairQueue::FairQueue(const QueueSettings& settings) : settings_(settings) {}

void FairQueue::SetWeight(TeamId team, uint32_t weight) {
  weights_[team] = std::max(weight, 1U);
}

void FairQueue::AddJob(JobHandle job, const QueuedJob& info) {
  const auto [it, added] = jobs_.try_emplace(job);
  assert(added);
  it->second.info = info;
}

void FairQueue::RemoveJob(JobHandle handle) {
  const auto it = jobs_.find(handle);
  if (it == jobs_.end()) {
    return;
  }
  Job& job = it->second;
  if (!job.tasks.empty()) {
    Dequeue(handle, job);
    AddWaitingTasks(job, -static_cast<int64_t>(job.tasks.size()));
  }
  jobs_.erase(it);
}

void FairQueue::AddTask(const TaskRef& task, bool front) {
  Job& job = jobs_.at(task.job);
  const int64_t position = front ? --front_position_ : ++back_position_;
  if (!job.positions.try_emplace(task.index, position).second) {
    return;
  }
  job.tasks.emplace(position, task.index);
  AddWaitingTasks(job, 1);
  if (job.tasks.size() == 1) {
    Enqueue(task.job, job);
  }
}

bool FairQueue::RemoveTask(const TaskRef& task) {
  const auto it = jobs_.find(task.job);
  if (it == jobs_.end()) {
    return false;
  }
  Job& job = it->second;
  const auto position = job.positions.find(task.index);
  if (position == job.positions.end()) {
    return false;
  }
  job.tasks.erase({position->second, task.index});
  job.positions.erase(position);
  AddWaitingTasks(job, -1);
  if (job.tasks.empty()) {
    Dequeue(task.job, job);
  }
  return true;
}

void FairQueue::Update(JobHandle handle,
                       uint32_t unfinished,
                       Duration task_run_time) {
  const auto it = jobs_.find(handle);
  if (it == jobs_.end()) {
    return;
  }
  Job& job = it->second;
  const auto waiting = static_cast<int64_t>(job.tasks.size());
  if (waiting > 0) {
    Dequeue(handle, job);
    AddWaitingTasks(job, -waiting);
  }
  job.info.unfinished = unfinished;
  job.info.task_run_time = task_run_time;
  if (waiting > 0) {
    AddWaitingTasks(job, waiting);
    Enqueue(handle, job);
  }
}

std::optional<TaskRef> FairQueue::Peek(bool urgent_only) const {
  const ClassQueue* class_queue =
      urgent_only ? &class_queues_[0] : NextClassQueue();
  if (class_queue == nullptr || class_queue->order.empty()) {
    return std::nullopt;
  }
  const TeamQueue& team =
      class_queue->teams.at(class_queue->order.begin()->second);
  const JobHandle job = team.jobs.begin()->second;
  return TaskRef{job, jobs_.at(job).tasks.begin()->second};
}

std::optional<TaskRef> FairQueue::Pop(bool urgent_only) {
  const std::optional<TaskRef> task = Peek(urgent_only);
  if (!task) {
    return std::nullopt;
  }
  Job& job = jobs_.at(task->job);
  ClassQueue& class_queue = ClassQueueOf(job);
  // Count the consecutive urgent placements while bulk tasks wait.
  const bool urgent = job.info.deadline_class == DeadlineClass::kUrgent;
  consecutive_urgent_ =
      urgent && !class_queues_[1].order.empty() ? consecutive_urgent_ + 1 : 0;
  RemoveTask(*task);
  // Advance the team's virtual time, which is part of its order key, so erase
  // and insert the team.
  if (settings_.fair_teams) {
    const TeamId id = job.info.team;
    TeamQueue& team = class_queue.teams.at(id);
    const auto weight = weights_.find(id);
    const double share = weight == weights_.end() ? 1.0 : weight->second;
    EraseTeam(class_queue, id);
    team.virtual_time +=
        static_cast<double>(job.info.task_run_time.count()) / share;
    InsertTeam(class_queue, id);
  }
  return task;
}

uint64_t FairQueue::size(DeadlineClass deadline_class) const {
  return class_queues_[static_cast<size_t>(deadline_class)].size;
}

Duration FairQueue::WorkAhead(DeadlineClass deadline_class,
                              Duration work) const {
  const size_t buckets = settings_.least_work_first
                             ? WorkBucket(work.count()) + 1
                             : class_queues_[0].work.size();
  const auto sum = [&](const ClassQueue& class_queue) {
    return std::accumulate(class_queue.work.begin(),
                           class_queue.work.begin() + buckets, int64_t{0});
  };
  // Without urgent_first the jobs of both classes share one order. With it all
  // urgent jobs precede a bulk job, whatever their remaining work.
  if (!settings_.urgent_first) {
    return Duration(sum(class_queues_[0]) + sum(class_queues_[1]));
  }
  if (deadline_class == DeadlineClass::kUrgent) {
    return Duration(sum(class_queues_[0]));
  }
  const std::array<int64_t, 64>& urgent = class_queues_[0].work;
  return Duration(std::accumulate(urgent.begin(), urgent.end(), int64_t{0}) +
                  sum(class_queues_[1]));
}

void FairQueue::Hash(Hasher& hasher) const {
  hasher.Add(size_);
  hasher.Add(consecutive_urgent_);
  for (const ClassQueue& class_queue : class_queues_) {
    hasher.Add(std::bit_cast<uint64_t>(class_queue.virtual_time));
    for (const auto& [id, team] : class_queue.teams) {
      hasher.Add(id);
      hasher.Add(std::bit_cast<uint64_t>(team.virtual_time));
      for (const auto& [key, handle] : team.jobs) {
        hasher.Add(std::bit_cast<uint64_t>(key));
        hasher.Add(handle);
        for (const auto& [position, index] : jobs_.at(handle).tasks) {
          hasher.Add(index);
        }
      }
    }
  }
}

FairQueue::ClassQueue& FairQueue::ClassQueueOf(const Job& job) {
  return class_queues_[static_cast<size_t>(job.info.deadline_class)];
}

double FairQueue::JobKey(const Job& job) const {
  const auto arrival = static_cast<double>(ToMicros(job.info.arrival));
  if (!settings_.least_work_first) {
    return arrival;
  }
  const double work = static_cast<double>(job.info.task_run_time.count()) *
                      static_cast<double>(job.info.unfinished);
  return work + settings_.aging_rate * arrival;
}

void FairQueue::Enqueue(JobHandle handle, Job& job) {
  ClassQueue& class_queue = ClassQueueOf(job);
  TeamQueue& team = class_queue.teams[job.info.team];
  EraseTeam(class_queue, job.info.team);
  // A team gets no credit for the time in which it had no waiting tasks: its
  // virtual time resumes at that of the class or later.
  if (team.jobs.empty()) {
    team.virtual_time = std::max(team.virtual_time, class_queue.virtual_time);
  }
  job.key = JobKey(job);
  team.jobs.emplace(job.key, handle);
  InsertTeam(class_queue, job.info.team);
}

void FairQueue::Dequeue(JobHandle handle, Job& job) {
  ClassQueue& class_queue = ClassQueueOf(job);
  EraseTeam(class_queue, job.info.team);
  class_queue.teams.at(job.info.team).jobs.erase({job.key, handle});
  InsertTeam(class_queue, job.info.team);
}

void FairQueue::InsertTeam(ClassQueue& class_queue, TeamId id) {
  TeamQueue& team = class_queue.teams.at(id);
  if (team.jobs.empty()) {
    return;
  }
  const double fairness_weight =
      settings_.fair_teams ? settings_.fairness_weight : 0.0;
  team.key = team.jobs.begin()->first + fairness_weight * team.virtual_time;
  class_queue.order.emplace(team.key, id);
  class_queue.by_virtual_time.emplace(team.virtual_time, id);
  class_queue.virtual_time = std::max(
      class_queue.virtual_time, class_queue.by_virtual_time.begin()->first);
}

void FairQueue::EraseTeam(ClassQueue& class_queue, TeamId id) {
  const TeamQueue& team = class_queue.teams.at(id);
  if (!team.jobs.empty()) {
    class_queue.order.erase({team.key, id});
    class_queue.by_virtual_time.erase({team.virtual_time, id});
  }
}

void FairQueue::AddWaitingTasks(const Job& job, int64_t tasks) {
  ClassQueue& class_queue = ClassQueueOf(job);
  class_queue.size += tasks;
  size_ += tasks;
  const int64_t task = job.info.task_run_time.count();
  class_queue.work[WorkBucket(task * job.info.unfinished)] += tasks * task;
}

size_t FairQueue::WorkBucket(int64_t work) {
  return std::bit_width(static_cast<uint64_t>(std::max<int64_t>(work, 1))) - 1;
}

const FairQueue::ClassQueue* FairQueue::NextClassQueue() const {
  const ClassQueue& urgent = class_queues_[0];
  const ClassQueue& bulk = class_queues_[1];
  if (urgent.order.empty() || bulk.order.empty()) {
    return !urgent.order.empty() ? &urgent
           : !bulk.order.empty() ? &bulk
                                 : nullptr;
  }
  if (!settings_.urgent_first) {
    return urgent.order.begin()->first <= bulk.order.begin()->first ? &urgent
                                                                    : &bulk;
  }
  return consecutive_urgent_ + 1 >= settings_.bulk_interval ? &bulk : &urgent;
}

}  // namespace filbertwick::core::policy

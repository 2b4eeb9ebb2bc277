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
    CountWaiting(job, -static_cast<int64_t>(job.tasks.size()));
  }
  jobs_.erase(it);
}

void FairQueue::AddTask(const TaskRef& task, bool front) {
  Job& job = jobs_.at(task.job);
  const int64_t place = front ? --first_place_ : ++last_place_;
  if (!job.places.try_emplace(task.index, place).second) {
    return;
  }
  job.tasks.emplace(place, task.index);
  CountWaiting(job, 1);
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
  const auto place = job.places.find(task.index);
  if (place == job.places.end()) {
    return false;
  }
  job.tasks.erase({place->second, task.index});
  job.places.erase(place);
  CountWaiting(job, -1);
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
    CountWaiting(job, -waiting);
  }
  job.info.unfinished = unfinished;
  job.info.task_run_time = task_run_time;
  if (waiting > 0) {
    CountWaiting(job, waiting);
    Enqueue(handle, job);
  }
}

std::optional<TaskRef> FairQueue::Peek(bool urgent_only) const {
  const Lane* lane = urgent_only ? &lanes_[0] : NextLane();
  if (lane == nullptr || lane->order.empty()) {
    return std::nullopt;
  }
  const TeamLane& team = lane->teams.at(lane->order.begin()->second);
  const JobHandle job = team.jobs.begin()->second;
  return TaskRef{job, jobs_.at(job).tasks.begin()->second};
}

std::optional<TaskRef> FairQueue::Pop(bool urgent_only) {
  const std::optional<TaskRef> task = Peek(urgent_only);
  if (!task) {
    return std::nullopt;
  }
  Job& job = jobs_.at(task->job);
  Lane& lane = LaneOf(job);
  // Count the consecutive urgent placements while bulk tasks wait.
  const bool urgent = job.info.deadline_class == DeadlineClass::kUrgent;
  urgent_run_ = urgent && !lanes_[1].order.empty() ? urgent_run_ + 1 : 0;
  RemoveTask(*task);
  // Advance the team's virtual time; its order changes with it.
  if (settings_.fair_teams) {
    const TeamId id = job.info.team;
    TeamLane& team = lane.teams.at(id);
    const auto weight = weights_.find(id);
    const double share = weight == weights_.end() ? 1.0 : weight->second;
    Displace(lane, id);
    team.virtual_time +=
        static_cast<double>(job.info.task_run_time.count()) / share;
    Place(lane, id);
  }
  return task;
}

uint64_t FairQueue::size(DeadlineClass deadline_class) const {
  return lanes_[static_cast<size_t>(deadline_class)].size;
}

Duration FairQueue::WorkAhead(DeadlineClass deadline_class,
                              Duration work) const {
  const size_t sizes = settings_.least_work_first ? SizeOf(work.count()) + 1
                                                  : lanes_[0].work.size();
  const auto sum = [&](const Lane& lane) {
    return std::accumulate(lane.work.begin(), lane.work.begin() + sizes,
                           int64_t{0});
  };
  // Without classes the work of both counts. With classes urgent jobs go before
  // bulk jobs of any size.
  if (!settings_.urgent_first) {
    return Duration(sum(lanes_[0]) + sum(lanes_[1]));
  }
  if (deadline_class == DeadlineClass::kUrgent) {
    return Duration(sum(lanes_[0]));
  }
  const std::array<int64_t, 64>& urgent = lanes_[0].work;
  return Duration(std::accumulate(urgent.begin(), urgent.end(), int64_t{0}) +
                  sum(lanes_[1]));
}

void FairQueue::Hash(Hasher& hasher) const {
  hasher.Add(size_);
  hasher.Add(urgent_run_);
  for (const Lane& lane : lanes_) {
    hasher.Add(std::bit_cast<uint64_t>(lane.virtual_time));
    for (const auto& [id, team] : lane.teams) {
      hasher.Add(id);
      hasher.Add(std::bit_cast<uint64_t>(team.virtual_time));
      for (const auto& [key, handle] : team.jobs) {
        hasher.Add(std::bit_cast<uint64_t>(key));
        hasher.Add(handle);
        for (const auto& [place, index] : jobs_.at(handle).tasks) {
          hasher.Add(index);
        }
      }
    }
  }
}

FairQueue::Lane& FairQueue::LaneOf(const Job& job) {
  return lanes_[static_cast<size_t>(job.info.deadline_class)];
}

double FairQueue::JobKey(const Job& job) const {
  const auto arrival = static_cast<double>(ToMicros(job.info.arrival));
  if (!settings_.least_work_first) {
    return arrival;
  }
  const double work = static_cast<double>(job.info.task_run_time.count()) *
                      static_cast<double>(job.info.unfinished);
  return work + settings_.ageing * arrival;
}

void FairQueue::Enqueue(JobHandle handle, Job& job) {
  Lane& lane = LaneOf(job);
  TeamLane& team = lane.teams[job.info.team];
  Displace(lane, job.info.team);
  // A team without waiting tasks must not save up share: its virtual time
  // advances at least with that of the waiting teams.
  if (team.jobs.empty()) {
    team.virtual_time = std::max(team.virtual_time, lane.virtual_time);
  }
  job.key = JobKey(job);
  team.jobs.emplace(job.key, handle);
  Place(lane, job.info.team);
}

void FairQueue::Dequeue(JobHandle handle, Job& job) {
  Lane& lane = LaneOf(job);
  Displace(lane, job.info.team);
  lane.teams.at(job.info.team).jobs.erase({job.key, handle});
  Place(lane, job.info.team);
}

void FairQueue::Place(Lane& lane, TeamId id) {
  TeamLane& team = lane.teams.at(id);
  if (team.jobs.empty()) {
    return;
  }
  const double fairness = settings_.fair_teams ? settings_.fairness : 0.0;
  team.key = team.jobs.begin()->first + fairness * team.virtual_time;
  lane.order.emplace(team.key, id);
  lane.by_time.emplace(team.virtual_time, id);
  lane.virtual_time = std::max(lane.virtual_time, lane.by_time.begin()->first);
}

void FairQueue::Displace(Lane& lane, TeamId id) {
  const TeamLane& team = lane.teams.at(id);
  if (!team.jobs.empty()) {
    lane.order.erase({team.key, id});
    lane.by_time.erase({team.virtual_time, id});
  }
}

void FairQueue::CountWaiting(const Job& job, int64_t tasks) {
  Lane& lane = LaneOf(job);
  lane.size += tasks;
  size_ += tasks;
  const int64_t task = job.info.task_run_time.count();
  lane.work[SizeOf(task * job.info.unfinished)] += tasks * task;
}

size_t FairQueue::SizeOf(int64_t work) {
  return std::bit_width(static_cast<uint64_t>(std::max<int64_t>(work, 1))) - 1;
}

const FairQueue::Lane* FairQueue::NextLane() const {
  const Lane& urgent = lanes_[0];
  const Lane& bulk = lanes_[1];
  if (urgent.order.empty() || bulk.order.empty()) {
    return !urgent.order.empty() ? &urgent
           : !bulk.order.empty() ? &bulk
                                 : nullptr;
  }
  if (!settings_.urgent_first) {
    return urgent.order.begin()->first <= bulk.order.begin()->first ? &urgent
                                                                    : &bulk;
  }
  return urgent_run_ + 1 >= settings_.bulk_every ? &bulk : &urgent;
}

}  // namespace filbertwick::core::policy

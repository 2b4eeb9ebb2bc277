#include "filbertwick/core/direct/direct_job_table.h"

#include <algorithm>
#include <utility>

namespace filbertwick::core::direct {
namespace {

void MarkReady(DirectJob& job, size_t step) {
  const auto first =
      job.tasks.begin() + static_cast<std::ptrdiff_t>(job.first_task[step]);
  for (auto it = first; it != job.tasks.end() && it->step == step; ++it) {
    it->phase = TaskPhase::kReady;
  }
}

}  // namespace

DirectJob& DirectJobTable::Add(DirectJob job) {
  job.graph = StepGraph::Build(job.spec.steps);
  job.tasks_left = static_cast<uint32_t>(job.tasks.size());
  job.tasks_left_in_step.assign(job.spec.steps.size(), 0);
  job.first_task.assign(job.spec.steps.size(), job.tasks.size());
  for (size_t n = 0; n < job.tasks.size(); ++n) {
    const size_t step = job.tasks[n].step;
    ++job.tasks_left_in_step[step];
    job.first_task[step] = std::min(job.first_task[step], n);
  }
  job.dependencies_left.clear();
  for (size_t step = 0; step < job.spec.steps.size(); ++step) {
    job.dependencies_left.push_back(job.spec.steps[step].after.size());
    if (job.dependencies_left.back() == 0) {
      MarkReady(job, step);
    }
  }
  by_request_[job.spec.request] = job.number;
  by_id_.emplace(job.spec.id, job.number);
  const uint64_t number = job.number;
  return jobs_.emplace(number, std::move(job)).first->second;
}

DirectJob* DirectJobTable::Find(uint64_t number) {
  const auto it = jobs_.find(number);
  return it == jobs_.end() ? nullptr : &it->second;
}

DirectJob* DirectJobTable::FindByRequest(uint64_t request) {
  const auto it = by_request_.find(request);
  return it == by_request_.end() ? nullptr : Find(it->second);
}

DirectJob* DirectJobTable::FindById(std::string_view id) {
  const auto it = by_id_.find(std::string(id));
  return it == by_id_.end() ? nullptr : Find(it->second);
}

void DirectJobTable::ChangeRequest(DirectJob& job, uint64_t request) {
  by_request_.erase(job.spec.request);
  by_request_[request] = job.number;
  job.spec.request = request;
}

void DirectJobTable::Remove(uint64_t number) {
  const auto it = jobs_.find(number);
  if (it == jobs_.end()) {
    return;
  }
  for (const JobTask& task : it->second.tasks) {
    runs_.erase({task.name, task.run});
  }
  by_request_.erase(it->second.spec.request);
  const auto [begin, end] = by_id_.equal_range(it->second.spec.id);
  by_id_.erase(std::find_if(
      begin, end, [&](const auto& item) { return item.second == number; }));
  jobs_.erase(it);
}

std::optional<DirectJobTable::TaskRef> DirectJobTable::FindRun(
    const TaskRun& run) const {
  const auto it = runs_.find(run);
  return it == runs_.end() ? std::nullopt : std::optional(it->second);
}

void DirectJobTable::Complete(DirectJob& job, JobTask& task) {
  task.phase = TaskPhase::kDone;
  --job.tasks_left;
  if (--job.tasks_left_in_step[task.step] > 0) {
    return;
  }
  for (const size_t dependent : job.graph.Dependents(task.step)) {
    if (--job.dependencies_left[dependent] == 0) {
      MarkReady(job, dependent);
    }
  }
}

}  // namespace filbertwick::core::direct

#include "filbertwick/core/entry/job_table.h"

#include <algorithm>
#include <cassert>
#include <ranges>
#include <utility>

#include "filbertwick/base/hash.h"
#include "filbertwick/core/entry/job_id_time.h"

namespace filbertwick::core {
namespace {

/// Bytes counted for a job beside its payloads and results.
constexpr uint64_t kJobOverheadBytes = 512;

uint64_t PayloadBytes(const wire::JobSpec& spec) {
  uint64_t bytes = kJobOverheadBytes;
  for (const std::string& payload : spec.payloads) {
    bytes += payload.size();
  }
  return bytes;
}

uint64_t AnswerBytes(const wire::JobAnswer& answer) {
  uint64_t bytes = kJobOverheadBytes;
  for (const wire::TaskResult& result : answer.tasks) {
    bytes += result.body.size() + sizeof(wire::TaskResult);
  }
  return bytes;
}

}  // namespace

JobTable::JobTable(const JobTableSettings& settings) : settings_(settings) {}

Job& JobTable::Add(wire::JobSpec spec, wire::ShardId shard, Instant now) {
  assert(!by_id_.contains(spec.id));
  const policy::JobHandle handle = next_handle_++;
  auto job = std::make_unique<Job>();
  job->handle = handle;
  job->shard = shard;
  job->accepted_at = now;
  job->deadline = now + spec.deadline;
  job->tasks.resize(spec.payloads.size());
  job->spec = std::move(spec);
  bytes_ += PayloadBytes(job->spec);
  by_id_[job->spec.id] = handle;
  deadlines_.insert({job->deadline, handle});
  ++running_;
  return *(jobs_[handle] = std::move(job));
}

Job* JobTable::Find(const JobId& id) {
  const auto it = by_id_.find(id);
  return it == by_id_.end() ? nullptr : Find(it->second);
}

Job* JobTable::Find(policy::JobHandle handle) {
  const auto it = jobs_.find(handle);
  return it == jobs_.end() ? nullptr : it->second.get();
}

void JobTable::NoteEnding(const Job& job) {
  deadlines_.erase({job.deadline, job.handle});
}

void JobTable::NoteEnded(Job& job, Instant now) {
  assert(job.stage == JobStage::kEnded);
  job.ending_at = now;
  NoteEnding(job);
  --running_;
  bytes_ -= PayloadBytes(job.spec);
  job.spec.payloads.clear();
  job.spec.payloads.shrink_to_fit();
  // What explains the job later needs no results; the answer has them.
  for (Task& task : job.tasks) {
    task.result.body.clear();
  }
  bytes_ += AnswerBytes(job.answer);
  ended_.push_back(job.handle);
}

void JobTable::Erase(policy::JobHandle handle) {
  const auto it = jobs_.find(handle);
  if (it == jobs_.end()) {
    return;
  }
  const Job& job = *it->second;
  if (job.stage == JobStage::kEnded) {
    bytes_ -= AnswerBytes(job.answer);
  } else {
    bytes_ -= PayloadBytes(job.spec);
    NoteEnding(job);
    --running_;
  }
  by_id_.erase(job.spec.id);
  jobs_.erase(it);
}

void JobTable::Remove(policy::JobHandle handle) {
  Erase(handle);
}

void JobTable::Expire(Instant now, Duration window) {
  while (!ended_.empty()) {
    const Job* job = Find(ended_.front());
    const bool expired = job != nullptr && job->ending_at + window <= now;
    const bool over_limit = bytes_ > settings_.max_bytes;
    if (job != nullptr && !expired && !over_limit) {
      return;
    }
    if (job != nullptr && !expired) {
      // A key dropped early must not pass for a new one.
      last_eviction_at_ = now;
      if (const auto created_at = JobIdCreationTime(job->spec.id)) {
        newest_evicted_created_at_ =
            std::max(newest_evicted_created_at_, *created_at);
      } else {
        undated_evicted_at_ = now;
      }
    }
    Erase(ended_.front());
    ended_.pop_front();
  }
}

bool JobTable::MayHaveEvicted(const JobId& id,
                              Instant now,
                              Duration window) const {
  if (const auto created_at = JobIdCreationTime(id)) {
    return *created_at <= newest_evicted_created_at_;
  }
  return undated_evicted_at_ != Instant::min() &&
         now < undated_evicted_at_ + window;
}

bool JobTable::EvictedWithin(Instant now, Duration window) const {
  return last_eviction_at_ != Instant::min() &&
         now < last_eviction_at_ + window;
}

std::vector<policy::JobHandle> JobTable::OverdueJobs(Instant now) {
  std::vector<policy::JobHandle> overdue;
  for (const RunningDeadline& due : deadlines_) {
    if (due.at > now) {
      break;
    }
    overdue.push_back(due.job);
  }
  return overdue;
}

Instant JobTable::NextDeadline() const {
  return deadlines_.empty() ? Instant::max() : deadlines_.begin()->at;
}

std::vector<policy::JobHandle> JobTable::JobsInShard(
    wire::ShardId shard) const {
  std::vector<policy::JobHandle> handles;
  for (const auto& [handle, job] : jobs_) {
    if (job->shard == shard) {
      handles.push_back(handle);
    }
  }
  return handles;
}

uint64_t JobTable::Hash() const {
  Hasher hasher;
  for (const auto& [handle, job] : jobs_) {
    hasher.Add(job->spec.id.value());
    hasher.Add(static_cast<uint64_t>(job->stage));
    hasher.Add(job->waiters.size());
    for (const Task& task : job->tasks) {
      hasher.Add(static_cast<uint64_t>(task.phase));
      hasher.Add(task.attempt);
      hasher.Add(task.sidecar.value());
      hasher.Add(static_cast<uint64_t>(task.result.outcome));
    }
  }
  return hasher.digest();
}

}  // namespace filbertwick::core

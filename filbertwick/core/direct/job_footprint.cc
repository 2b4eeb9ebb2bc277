#include "filbertwick/core/direct/job_footprint.h"

#include "filbertwick/core/direct/direct_job_table.h"

namespace filbertwick::core::direct {
namespace {

/// A job without tasks: DirectJob, its places in the queue and in the indices,
/// and the caller's request.
constexpr size_t kJobBytes = sizeof(DirectJob) + 1024;
/// A step and its places in the step graph.
constexpr size_t kStepBytes = sizeof(JobStep) + 128;
/// A dependency is there twice: in its step and in the step graph.
constexpr size_t kDependencyBytes = 2 * sizeof(size_t);
/// A task, its name, and its run with the index of runs.
constexpr size_t kTaskBytes = sizeof(JobTask) + 160;
/// The spec is there once for the job and once for an open offer.
constexpr size_t kSpecCopies = 2;

}  // namespace

size_t EstimateFootprint(const JobRequest& job) {
  size_t bytes = kJobBytes + kSpecCopies * job.spec.size();
  for (const JobStep& step : job.steps) {
    bytes += kStepBytes + step.required_label.size() + step.data_rack.size() +
             kDependencyBytes * step.after.size() + kTaskBytes * step.count;
  }
  return bytes;
}

}  // namespace filbertwick::core::direct

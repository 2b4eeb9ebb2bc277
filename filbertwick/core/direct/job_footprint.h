#ifndef FILBERTWICK_CORE_DIRECT_JOB_FOOTPRINT_H_
#define FILBERTWICK_CORE_DIRECT_JOB_FOOTPRINT_H_

#include <cstddef>

#include "filbertwick/core/direct/job_request.h"

namespace filbertwick::core::direct {

/// Returns an upper estimate of the memory that an entry uses for a job from
/// its arrival to its answer, in bytes: its text, steps, dependencies and tasks
/// with their indices. A short text may describe a job of many tasks.
size_t EstimateFootprint(const JobRequest& job);

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_JOB_FOOTPRINT_H_

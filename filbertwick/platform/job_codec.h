#ifndef FILBERTWICK_PLATFORM_JOB_CODEC_H_
#define FILBERTWICK_PLATFORM_JOB_CODEC_H_

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

#include "filbertwick/core/direct/configuration.h"
#include "filbertwick/core/direct/entry_effect.h"

namespace filbertwick::platform {

/// True for the 16 hexadecimal digits that name a job.
bool IsJobId(std::string_view text);

/// Name of a task as upstreams know it.
std::string FormatTaskName(std::string_view job, size_t step, size_t index);

/// Reads a submitted job; request, id and time limit are left to the caller.
/// InvalidArgument says what is wrong; Unimplemented names a kind of job that
/// can't be run yet.
absl::StatusOr<core::direct::JobRequest> ParseJob(
    std::string_view body,
    const core::direct::Route& route);

/// Reads a published configuration; InvalidArgument when it is none. Routes
/// that lack what they need are left out.
absl::StatusOr<core::direct::Configuration> ParseConfiguration(
    std::string_view text);

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_JOB_CODEC_H_

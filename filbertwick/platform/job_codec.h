#ifndef FILBERTWICK_PLATFORM_JOB_CODEC_H_
#define FILBERTWICK_PLATFORM_JOB_CODEC_H_

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

#include "filbertwick/core/direct/configuration.h"
#include "filbertwick/core/direct/entry_effect.h"

namespace filbertwick::platform {

/// True when `text` is a job's id: 16 hexadecimal digits.
bool IsJobId(std::string_view text);

/// The name under which upstreams know a task. `step` is the position of the
/// step in the job, `index` that of the task in the step.
std::string FormatTaskName(std::string_view job, size_t step, size_t index);

/// Parses the body of a submitted job. Leaves `request`, `id` and `time_limit`
/// unset. Returns InvalidArgument with a message that names the fault for a
/// malformed body, and Unimplemented for a job that needs an unsupported
/// feature.
absl::StatusOr<core::direct::JobRequest> ParseJob(
    std::string_view body,
    const core::direct::Route& route);

/// Parses a published configuration. Returns InvalidArgument when the text has
/// no positive version or no list of routes. Routes that lack a host, a path
/// prefix or a service are left out.
absl::StatusOr<core::direct::Configuration> ParseConfiguration(
    std::string_view text);

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_JOB_CODEC_H_

#ifndef FILBERTWICK_TOOL_JOB_TARGET_H_
#define FILBERTWICK_TOOL_JOB_TARGET_H_

#include <string>
#include <string_view>

namespace filbertwick::tool {

/// Returns the request target of a job: `/v1/jobs/` and the job id, in which
/// all but the unreserved characters of URIs are percent-encoded.
std::string JobTarget(std::string_view id);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_JOB_TARGET_H_

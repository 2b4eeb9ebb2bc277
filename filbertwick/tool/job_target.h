#ifndef FILBERTWICK_TOOL_JOB_TARGET_H_
#define FILBERTWICK_TOOL_JOB_TARGET_H_

#include <string>
#include <string_view>

namespace filbertwick::tool {

/// `/v1/jobs/` and the id, with all but unreserved bytes percent-encoded.
std::string JobTarget(std::string_view id);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_JOB_TARGET_H_

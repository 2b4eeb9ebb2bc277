#ifndef FILBERTWICK_TOOL_JOB_ID_H_
#define FILBERTWICK_TOOL_JOB_ID_H_

#include <cstdint>
#include <string>

#include "filbertwick/base/time.h"

namespace filbertwick::tool {

/// Returns a UUID of version 7 (RFC 9562). It starts with `now` in
/// milliseconds; its random part is taken from the random numbers `high` and
/// `low`.
std::string MakeJobId(WallTime now, uint64_t high, uint64_t low);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_JOB_ID_H_

#ifndef FILBERTWICK_CORE_ENTRY_JOB_ID_TIME_H_
#define FILBERTWICK_CORE_ENTRY_JOB_ID_TIME_H_

#include <optional>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"

namespace filbertwick::core {

/// When the caller made a job id, if it is a UUIDv7 (RFC 9562) in its usual
/// text form; nothing for any other id.
std::optional<WallTime> JobIdCreationTime(const JobId& job);

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_JOB_ID_TIME_H_

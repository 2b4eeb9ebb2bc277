#ifndef FILBERTWICK_CORE_ENTRY_JOB_ID_TIME_H_
#define FILBERTWICK_CORE_ENTRY_JOB_ID_TIME_H_

#include <optional>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"

namespace filbertwick::core {

/// Returns the creation time encoded in a job id that is a UUIDv7 (RFC 9562) in
/// text form, by the clock of the caller; std::nullopt for any other id.
std::optional<WallTime> JobIdCreationTime(const JobId& job);

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_JOB_ID_TIME_H_

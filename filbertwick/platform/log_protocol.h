#ifndef FILBERTWICK_PLATFORM_LOG_PROTOCOL_H_
#define FILBERTWICK_PLATFORM_LOG_PROTOCOL_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "filbertwick/base/time.h"

namespace filbertwick::platform {

// The HTTP protocol of the log service:
//   POST /v1/streams/{stream}/records
//     Appends the batch in the body. 200 with the offset of its first record.
//   GET  /v1/streams/{stream}/records?from=N&wait_ms=M
//     Reads a batch from offset N. 200 with the offset of the first record, the
//     head and the batch, which is empty when no record arrives within M ms.
//     410 with the oldest retained offset when N was trimmed.

/// Header with the offset of the first record of a batch.
inline constexpr std::string_view kFirstOffsetHeader = "X-First-Offset";
/// Header with the offset after the newest record of the stream (the head).
inline constexpr std::string_view kHeadOffsetHeader = "X-Head-Offset";
/// Header with the oldest retained offset, in a response of kTrimmedStatus.
inline constexpr std::string_view kFirstAvailableHeader = "X-First-Available";
/// Status of a read whose offset was trimmed.
inline constexpr int kTrimmedStatus = 410;

/// Formats the request target of an append.
std::string FormatAppendTarget(std::string_view stream);

/// Formats the request target of a read that waits up to `wait` for records.
std::string FormatReadTarget(std::string_view stream,
                             uint64_t from,
                             Duration wait);

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_LOG_PROTOCOL_H_

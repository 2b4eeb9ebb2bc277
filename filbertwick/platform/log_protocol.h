#ifndef FILBERTWICK_PLATFORM_LOG_PROTOCOL_H_
#define FILBERTWICK_PLATFORM_LOG_PROTOCOL_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "filbertwick/base/time.h"

namespace filbertwick::platform {

// The HTTP protocol of the log service:
//   POST /v1/streams/{stream}/records   body: batch; 200 with first offset
//   GET  /v1/streams/{stream}/records?from=N&wait_ms=M
//     200 with first offset, head and a batch, empty when M passed without a
//     new record; 410 with the first offset still held when N was trimmed.

/// Offset of the first record of a batch.
inline constexpr std::string_view kFirstOffsetHeader = "X-First-Offset";
/// Offset after the newest record.
inline constexpr std::string_view kHeadOffsetHeader = "X-Head-Offset";
/// Oldest offset still held, in a response of status kTrimmedStatus.
inline constexpr std::string_view kFirstAvailableHeader = "X-First-Available";
inline constexpr int kTrimmedStatus = 410;

/// Target of an append.
std::string FormatAppendTarget(std::string_view stream);

/// Target of a read that waits up to `wait` for new records.
std::string FormatReadTarget(std::string_view stream,
                             uint64_t from,
                             Duration wait);

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_LOG_PROTOCOL_H_

#ifndef FILBERTWICK_WIRE_CODEC_H_
#define FILBERTWICK_WIRE_CODEC_H_

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

#include "filbertwick/wire/control_record.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::wire {

/// Most bytes of one encoded message.
inline constexpr size_t kMaxMessageBytes = 16 * 1024 * 1024;

/// Bytes of a message, in cereal's portable binary form.
std::string EncodeMessage(const Message& message);

/// Reads a message; InvalidArgument for bytes that are damaged, left over or
/// claim sizes beyond the data.
absl::StatusOr<Message> DecodeMessage(std::string_view bytes);

/// Bytes of a control record.
std::string EncodeRecord(const ControlRecord& record);

/// Reads a control record; errors as DecodeMessage().
absl::StatusOr<ControlRecord> DecodeRecord(std::string_view bytes);

}  // namespace filbertwick::wire

#endif  // FILBERTWICK_WIRE_CODEC_H_

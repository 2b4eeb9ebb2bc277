#ifndef FILBERTWICK_WIRE_CODEC_H_
#define FILBERTWICK_WIRE_CODEC_H_

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

#include "filbertwick/wire/control_record.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::wire {

/// Maximum size of an encoded message, in bytes; larger ones are rejected.
inline constexpr size_t kMaxMessageBytes = 16 * 1024 * 1024;

/// Encodes a message in the format of OutputArchive.
std::string EncodeMessage(const Message& message);

/// Decodes a message; InvalidArgument for malformed input, trailing bytes, an
/// element count beyond the data, or more than kMaxMessageBytes.
absl::StatusOr<Message> DecodeMessage(std::string_view bytes);

/// Encodes a control record.
std::string EncodeRecord(const ControlRecord& record);

/// Decodes a control record; InvalidArgument for malformed input or trailing
/// bytes. The size isn't limited.
absl::StatusOr<ControlRecord> DecodeRecord(std::string_view bytes);

}  // namespace filbertwick::wire

#endif  // FILBERTWICK_WIRE_CODEC_H_

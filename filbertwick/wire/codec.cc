#include "filbertwick/wire/codec.h"

#include "filbertwick/wire/archive.h"

namespace filbertwick::wire {

std::string EncodeMessage(const Message& message) {
  return EncodeValue(message);
}

absl::StatusOr<Message> DecodeMessage(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    return absl::InvalidArgumentError("message exceeds kMaxMessageBytes");
  }
  return DecodeValue<Message>(bytes);
}

std::string EncodeRecord(const ControlRecord& record) {
  return EncodeValue(record);
}

absl::StatusOr<ControlRecord> DecodeRecord(std::string_view bytes) {
  return DecodeValue<ControlRecord>(bytes);
}

}  // namespace filbertwick::wire

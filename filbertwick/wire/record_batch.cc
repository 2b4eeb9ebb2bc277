#include "filbertwick/wire/record_batch.h"

#include "filbertwick/wire/archive.h"

namespace filbertwick::wire {

std::string EncodeBatch(const RecordBatch& batch) {
  return EncodeValue(batch);
}

absl::StatusOr<RecordBatch> DecodeBatch(std::string_view bytes) {
  return DecodeValue<RecordBatch>(bytes);
}

}  // namespace filbertwick::wire

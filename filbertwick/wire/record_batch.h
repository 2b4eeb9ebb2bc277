#ifndef FILBERTWICK_WIRE_RECORD_BATCH_H_
#define FILBERTWICK_WIRE_RECORD_BATCH_H_

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace filbertwick::wire {

/// Records of a stream in log order, as exchanged with the log service; each is
/// an opaque byte string.
using RecordBatch = std::vector<std::string>;

/// Encodes a batch: the record count, then each record with its length.
std::string EncodeBatch(const RecordBatch& batch);

/// Decodes a batch; InvalidArgument for malformed input or trailing bytes.
absl::StatusOr<RecordBatch> DecodeBatch(std::string_view bytes);

}  // namespace filbertwick::wire

#endif  // FILBERTWICK_WIRE_RECORD_BATCH_H_

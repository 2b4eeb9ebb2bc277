#ifndef FILBERTWICK_WIRE_RECORD_BATCH_H_
#define FILBERTWICK_WIRE_RECORD_BATCH_H_

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace filbertwick::wire {

/// Records of a stream as the log service takes and gives them: opaque bytes
/// each, in order.
using RecordBatch = std::vector<std::string>;

/// Bytes of a batch: the number of records, then each with its length.
std::string EncodeBatch(const RecordBatch& batch);

/// Reads a batch; InvalidArgument for damaged or left-over bytes.
absl::StatusOr<RecordBatch> DecodeBatch(std::string_view bytes);

}  // namespace filbertwick::wire

#endif  // FILBERTWICK_WIRE_RECORD_BATCH_H_

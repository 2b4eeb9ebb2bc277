#ifndef FILBERTWICK_TOOL_ANSWERS_H_
#define FILBERTWICK_TOOL_ANSWERS_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/core/core.h"
#include "filbertwick/core/effect.h"

namespace filbertwick::tool {

/// The bundle in force at an entry.
struct BundleAnswer {
  /// 0 before the first.
  uint64_t version = 0;
  std::string text;
};

/// An entry's verdict on a change.
struct ChangeAnswer {
  bool accepted = false;
  wire::LogOffset offset = 0;
  std::string why;
};

/// One caller's job as it was answered.
struct JobResult {
  std::string outcome;
  std::string reason;
};

// Each reads the JSON body of one answer; Internal when it is not as agreed.
absl::StatusOr<core::CoreStatus> ReadStatus(std::string_view body);
absl::StatusOr<BundleAnswer> ReadBundleAnswer(std::string_view body);
absl::StatusOr<ChangeAnswer> ReadChangeAnswer(std::string_view body);
absl::StatusOr<std::vector<core::AuditEffect>> ReadAudit(std::string_view body);
absl::StatusOr<std::vector<std::string>> ReadExplanation(std::string_view body);
absl::StatusOr<JobResult> ReadJobResult(std::string_view body);
/// The text of an error body, or the body itself when it is none.
std::string ReadError(std::string_view body);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_ANSWERS_H_

#ifndef FILBERTWICK_TOOL_ENTRY_RESPONSES_H_
#define FILBERTWICK_TOOL_ENTRY_RESPONSES_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/core/core.h"
#include "filbertwick/core/effect.h"

namespace filbertwick::tool {

/// The bundle in force at an entry.
struct BundleResponse {
  /// 0 before the first.
  uint64_t version = 0;
  std::string text;
};

/// An entry's verdict on a change.
struct ChangeResponse {
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
absl::StatusOr<core::CoreStatus> ParseStatusResponse(std::string_view body);
absl::StatusOr<BundleResponse> ParseBundleResponse(std::string_view body);
absl::StatusOr<ChangeResponse> ParseChangeResponse(std::string_view body);
absl::StatusOr<std::vector<core::AuditEffect>> ParseAuditResponse(
    std::string_view body);
absl::StatusOr<std::vector<std::string>> ParseExplanationResponse(
    std::string_view body);
absl::StatusOr<JobResult> ParseJobResponse(std::string_view body);
/// The text of an error body, or the body itself when it is none.
std::string ExtractErrorText(std::string_view body);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_ENTRY_RESPONSES_H_

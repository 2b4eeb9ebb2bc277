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

/// Response to GET /v1/bundle: the bundle in force at the entry.
struct BundleResponse {
  /// 0 when no bundle has been published yet.
  uint64_t version = 0;
  std::string text;
};

/// Response to POST /v1/changes: whether the change was accepted, its offset in
/// the control log, and the reason of a refusal.
struct ChangeResponse {
  bool accepted = false;
  wire::LogOffset offset = 0;
  std::string why;
};

/// Outcome of a job and, unless it is complete, the reason.
struct JobResult {
  std::string outcome;
  std::string reason;
};

// Each function parses the JSON body of one response of an entry. Returns
// Internal when the body is not JSON or a required member is missing or
// invalid.
absl::StatusOr<core::CoreStatus> ParseStatusResponse(std::string_view body);
absl::StatusOr<BundleResponse> ParseBundleResponse(std::string_view body);
absl::StatusOr<ChangeResponse> ParseChangeResponse(std::string_view body);
absl::StatusOr<std::vector<core::AuditEffect>> ParseAuditResponse(
    std::string_view body);
absl::StatusOr<std::vector<std::string>> ParseExplanationResponse(
    std::string_view body);
absl::StatusOr<JobResult> ParseJobResponse(std::string_view body);
/// Returns the first of the members `error`, `why` and `reason` of a JSON body,
/// or the whole body when it has none of them or is not JSON.
std::string ExtractErrorText(std::string_view body);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_ENTRY_RESPONSES_H_

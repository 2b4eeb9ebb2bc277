#include "filbertwick/tool/report.h"

#include <fmt/format.h>

#include <string>

namespace filbertwick::tool {
namespace {

ExitCode ToExitCode(const absl::Status& status) {
  switch (status.code()) {
    case absl::StatusCode::kInvalidArgument:
      return ExitCode::kUsage;
    case absl::StatusCode::kPermissionDenied:
    case absl::StatusCode::kFailedPrecondition:
      return ExitCode::kRefused;
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kDeadlineExceeded:
      return ExitCode::kUnreachable;
    default:
      return ExitCode::kFailed;
  }
}

}  // namespace

ExitCode ReportError(const Environment& environment,
                     std::string_view prefix,
                     const absl::Status& status) {
  environment.err(
      fmt::format("{}: {}\n", prefix, std::string(status.message())));
  return ToExitCode(status);
}

void WriteFindings(const Findings& findings, json::TextWriter& writer) {
  writer.BeginArray();
  for (const Finding& finding : findings) {
    writer.BeginObject()
        .Member("severity",
                finding.severity == Severity::kError ? "error" : "warning")
        .Member("file", finding.file)
        .Member("line", finding.line)
        .Member("path", finding.path)
        .Member("text", finding.text)
        .EndObject();
  }
  writer.EndArray();
}

bool BlocksChange(const Findings& findings, bool accept_warnings) {
  return HasErrors(findings) || (!findings.empty() && !accept_warnings);
}

}  // namespace filbertwick::tool

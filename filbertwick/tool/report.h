#ifndef FILBERTWICK_TOOL_REPORT_H_
#define FILBERTWICK_TOOL_REPORT_H_

#include <absl/status/status.h>

#include <string_view>

#include "filbertwick/base/finding.h"
#include "filbertwick/json/text_writer.h"
#include "filbertwick/tool/environment.h"
#include "filbertwick/tool/exit_code.h"

namespace filbertwick::tool {

/// Prints `prefix: message` to standard error and returns the exit code for the
/// status.
ExitCode ReportError(const Environment& environment,
                     std::string_view prefix,
                     const absl::Status& status);

/// Writes findings as a JSON array.
void WriteFindings(const Findings& findings, json::TextWriter& writer);

/// True when the findings contain an error, or a warning and `accept_warnings`
/// is false.
bool BlocksChange(const Findings& findings, bool accept_warnings);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_REPORT_H_

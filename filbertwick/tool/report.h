#ifndef FILBERTWICK_TOOL_REPORT_H_
#define FILBERTWICK_TOOL_REPORT_H_

#include <absl/status/status.h>

#include <string_view>

#include "filbertwick/base/finding.h"
#include "filbertwick/json/text_writer.h"
#include "filbertwick/tool/environment.h"
#include "filbertwick/tool/exit_code.h"

namespace filbertwick::tool {

/// Prints `prefix: message` to standard error; the exit code that fits.
ExitCode ReportError(const Environment& environment,
                     std::string_view prefix,
                     const absl::Status& status);

/// Writes findings as a JSON array.
void WriteFindings(const Findings& findings, json::TextWriter& writer);

/// True when findings stop a change: errors, or warnings not accepted.
bool BlocksChange(const Findings& findings, bool accept_warnings);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_REPORT_H_

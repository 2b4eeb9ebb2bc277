#include "filbertwick/base/finding.h"

#include <fmt/format.h>

#include <algorithm>

namespace filbertwick {

std::string FormatFindings(const Findings& findings) {
  std::string text;
  for (const Finding& finding : findings) {
    const char* mark =
        finding.severity == Severity::kWarning ? "warning: " : "";
    fmt::format_to(std::back_inserter(text), "{}:{}: {}: {}{}\n", finding.file,
                   finding.line, finding.path, mark, finding.text);
  }
  return text;
}

bool HasErrors(const Findings& findings) {
  return std::ranges::any_of(findings, [](const Finding& finding) {
    return finding.severity == Severity::kError;
  });
}

}  // namespace filbertwick

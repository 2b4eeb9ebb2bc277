#ifndef FILBERTWICK_BASE_FINDING_H_
#define FILBERTWICK_BASE_FINDING_H_

#include <string>
#include <string_view>
#include <vector>

namespace filbertwick {

/// How grave a finding is.
enum class Severity { kWarning, kError };

/// Something wrong at one place of a file.
struct Finding {
  Severity severity = Severity::kError;
  /// File name as the operator gave it.
  std::string file;
  /// Line, counted from 1; 0 when the whole file is meant.
  int line = 0;
  /// JSON path such as `/services/0/name`.
  std::string path;
  /// What is wrong and what is allowed.
  std::string text;
};

/// All findings of one check, in the order of their lines.
using Findings = std::vector<Finding>;

/// `file:line: /path: text`, one finding a line.
std::string FormatFindings(const Findings& findings);

/// True when a finding is an error.
bool HasErrors(const Findings& findings);

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_FINDING_H_

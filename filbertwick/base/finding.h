#ifndef FILBERTWICK_BASE_FINDING_H_
#define FILBERTWICK_BASE_FINDING_H_

#include <string>
#include <string_view>
#include <vector>

namespace filbertwick {

/// Whether a finding makes a file invalid.
enum class Severity { kWarning, kError };

/// A problem at one place in a file.
struct Finding {
  Severity severity = Severity::kError;
  /// File name as given by the operator.
  std::string file;
  /// Line number, counted from 1; 0 for the file as a whole.
  int line = 0;
  /// Path of the value, such as `/services/0/name`; `/` is the root.
  std::string path;
  /// Description of the problem and of the allowed values.
  std::string text;
};

/// All findings of one check, in line order.
using Findings = std::vector<Finding>;

/// Formats findings as `file:line: /path: text`, one per line.
std::string FormatFindings(const Findings& findings);

/// True when at least one finding is an error.
bool HasErrors(const Findings& findings);

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_FINDING_H_

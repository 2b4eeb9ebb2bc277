#ifndef FILBERTWICK_JSON_DOCUMENT_STATE_H_
#define FILBERTWICK_JSON_DOCUMENT_STATE_H_

#include <json/value.h>

#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/finding.h"
#include "filbertwick/json/document.h"

namespace filbertwick::json {

/// State shared by a document and its nodes: the parsed values, the line
/// offsets and the findings.
class Node::State {
 public:
  /// Records the line offsets of `text`; the caller then parses it into `root`.
  State(std::string_view file, std::string_view text);

  /// Adds a finding at the line that contains byte `offset` of the text.
  void Report(size_t offset,
              std::string_view path,
              std::string_view text,
              Severity severity = Severity::kError);

  /// Adds an error at `line`, counted from 1.
  void ReportLine(int line, std::string_view path, std::string_view text);

  /// Returns the findings sorted by line. If more than kMaxFindings were added,
  /// a last entry gives the number of dropped ones.
  Findings SortedFindings() const;

  Json::Value root;
  bool parsed = false;
  bool has_errors = false;

 private:
  /// Line, counted from 1, that contains byte `offset`.
  int LineAt(size_t offset) const;
  /// Stores the finding, or only counts it once kMaxFindings are stored.
  void AddFinding(Finding finding);

  std::string file_;
  /// Byte offset of the start of each line, in ascending order.
  std::vector<size_t> line_starts_;
  Findings findings_;
  /// Number of findings that were counted but not stored.
  size_t num_dropped_findings_ = 0;
};

}  // namespace filbertwick::json

#endif  // FILBERTWICK_JSON_DOCUMENT_STATE_H_

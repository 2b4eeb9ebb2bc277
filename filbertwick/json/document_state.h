#ifndef FILBERTWICK_JSON_DOCUMENT_STATE_H_
#define FILBERTWICK_JSON_DOCUMENT_STATE_H_

#include <json/value.h>

#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/finding.h"
#include "filbertwick/json/document.h"

namespace filbertwick::json {

/// What a document and its nodes share: the values, the places of lines and
/// the findings.
class Node::State {
 public:
  /// No values yet; notes where the lines of `text` start.
  State(std::string_view file, std::string_view text);

  /// Adds a finding at a byte offset of the text.
  void Report(size_t offset,
              std::string_view path,
              std::string_view text,
              Severity severity = Severity::kError);

  /// Adds an error at a line, counted from 1.
  void ReportLine(int line, std::string_view path, std::string_view text);

  /// All findings in order of line.
  Findings SortedFindings() const;

  Json::Value root;
  bool parsed = false;
  bool has_errors = false;

 private:
  int LineAt(size_t offset) const;
  void AddFinding(Finding finding);

  std::string file_;
  std::vector<size_t> line_starts_;
  Findings findings_;
  size_t num_dropped_findings_ = 0;
};

}  // namespace filbertwick::json

#endif  // FILBERTWICK_JSON_DOCUMENT_STATE_H_

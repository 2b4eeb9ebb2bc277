#include "filbertwick/json/document_state.h"

#include <fmt/format.h>

#include <algorithm>

namespace filbertwick::json {

Node::State::State(std::string_view file, std::string_view text)
    : file_(file), line_starts_{0} {
  for (size_t i = text.find('\n'); i != std::string_view::npos;
       i = text.find('\n', i + 1)) {
    line_starts_.push_back(i + 1);
  }
}

void Node::State::Report(size_t offset,
                         std::string_view path,
                         std::string_view text,
                         Severity severity) {
  AddFinding(
      {severity, file_, LineAt(offset), std::string(path), std::string(text)});
}

void Node::State::ReportLine(int line,
                             std::string_view path,
                             std::string_view text) {
  AddFinding(
      {Severity::kError, file_, line, std::string(path), std::string(text)});
}

void Node::State::AddFinding(Finding finding) {
  has_errors = has_errors || finding.severity == Severity::kError;
  if (findings_.size() >= kMaxFindings) {
    ++num_dropped_findings_;
    return;
  }
  findings_.push_back(std::move(finding));
}

Findings Node::State::SortedFindings() const {
  Findings sorted = findings_;
  std::ranges::stable_sort(sorted, {}, &Finding::line);
  if (num_dropped_findings_ > 0) {
    // As severe as what is left out may be.
    sorted.push_back(
        {has_errors ? Severity::kError : Severity::kWarning, file_, 0, "/",
         fmt::format("{} more findings are left out", num_dropped_findings_)});
  }
  return sorted;
}

int Node::State::LineAt(size_t offset) const {
  const auto it = std::ranges::upper_bound(line_starts_, offset);
  return static_cast<int>(it - line_starts_.begin());
}

}  // namespace filbertwick::json

#include "filbertwick/daemon/audit_trail.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace filbertwick::daemon {

void AuditTrail::Add(core::AuditEffect line) {
  std::lock_guard lock(mutex_);
  lines_.push_back(std::move(line));
  if (lines_.size() > capacity_) {
    lines_.pop_front();
  }
}

std::vector<core::AuditEffect> AuditTrail::Read(wire::LogOffset since) const {
  std::lock_guard lock(mutex_);
  std::vector<core::AuditEffect> lines;
  std::ranges::copy_if(
      lines_, std::back_inserter(lines),
      [since](const core::AuditEffect& line) { return line.offset >= since; });
  return lines;
}

std::string FormatAuditLine(const core::AuditEffect& line) {
  std::string text =
      fmt::format("offset {}: {} by {} (change {}): {}", line.offset, line.what,
                  line.author.value(), line.change.value(),
                  line.accepted ? "accepted" : "refused");
  if (!line.why.empty()) {
    text += ", " + line.why;
  }
  return text;
}

}  // namespace filbertwick::daemon

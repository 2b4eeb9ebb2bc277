#ifndef FILBERTWICK_DAEMON_AUDIT_TRAIL_H_
#define FILBERTWICK_DAEMON_AUDIT_TRAIL_H_

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "filbertwick/core/effect.h"

namespace filbertwick::daemon {

/// The newest lines of the audit trail; threads may use it at the same time.
class AuditTrail {
 public:
  /// A trail that keeps at most `capacity` lines.
  explicit AuditTrail(size_t capacity) : capacity_(capacity) {}

  /// Adds a line; the oldest goes when the trail is full.
  void Add(core::AuditEffect line);
  /// Lines of records at `since` and later, in order of the log.
  std::vector<core::AuditEffect> Read(wire::LogOffset since) const;

 private:
  const size_t capacity_;
  mutable std::mutex mutex_;
  std::deque<core::AuditEffect> lines_;
};

/// The line as it stands in the process's log.
std::string FormatAuditLine(const core::AuditEffect& line);

}  // namespace filbertwick::daemon

#endif  // FILBERTWICK_DAEMON_AUDIT_TRAIL_H_

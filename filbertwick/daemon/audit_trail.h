#ifndef FILBERTWICK_DAEMON_AUDIT_TRAIL_H_
#define FILBERTWICK_DAEMON_AUDIT_TRAIL_H_

#include <cstddef>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

#include "filbertwick/core/effect.h"

namespace filbertwick::daemon {

/// Keeps the newest lines of the audit trail. Thread-safe.
class AuditTrail {
 public:
  /// Creates a trail that keeps at most `capacity` lines.
  explicit AuditTrail(size_t capacity) : capacity_(capacity) {}

  /// Adds a line, and removes the oldest when the trail is full.
  void Add(core::AuditEffect line);
  /// Returns the kept lines of records at offset `since` and later, in log
  /// order.
  std::vector<core::AuditEffect> Read(wire::LogOffset since) const;

 private:
  const size_t capacity_;
  mutable std::mutex mutex_;
  std::deque<core::AuditEffect> lines_;
};

/// Formats a line for the process's log.
std::string FormatAuditLine(const core::AuditEffect& line);

}  // namespace filbertwick::daemon

#endif  // FILBERTWICK_DAEMON_AUDIT_TRAIL_H_

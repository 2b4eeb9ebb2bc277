#ifndef FILBERTWICK_BASE_EVENT_LOG_H_
#define FILBERTWICK_BASE_EVENT_LOG_H_

#include <cstdint>
#include <map>
#include <string>

#include "filbertwick/base/log.h"
#include "filbertwick/base/log_line.h"
#include "filbertwick/base/output_loop.h"
#include "filbertwick/base/time.h"

namespace filbertwick {

/// Writes structured lines on a thread of its own. Each kind of event has a
/// budget a second; what exceeds it is counted and told with the next line of
/// its kind, so the volume stays bounded under any load. For one thread.
class EventLog {
 public:
  /// Lines a second of one kind: enough for every request of an entry at its
  /// usual load, few enough for a small core.
  static constexpr uint32_t kLinesPerSecond = 100;

  /// Lines carry `instance` and go to `sink`.
  EventLog(std::string instance, LogSink sink);

  /// Writes a line unless the budget of its kind is used up.
  void Write(const LogLine& line, Instant now, WallTime wall);

 private:
  /// What one kind has used.
  struct Budget {
    Instant window_start;
    uint32_t written = 0;
    uint64_t left_out = 0;
  };

  const std::string instance_;
  std::map<std::string, Budget, std::less<>> budgets_;
  OutputLoop output_;
};

/// A sink that writes whole lines to standard output.
LogSink StandardOutputSink();

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_EVENT_LOG_H_

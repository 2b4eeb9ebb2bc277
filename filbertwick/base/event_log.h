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

/// Writes structured log lines on a thread of its own. Each event type has a
/// budget of lines per second, which bounds the volume of the log under any
/// load. Lines over the budget are omitted; the next line that is written for
/// the same event type gives their number as `left_out`. Not thread-safe.
class EventLog {
 public:
  /// Budget of one event type, in lines per second: enough for every request of
  /// an entry at its usual load, few enough for a small CPU core to write.
  static constexpr uint32_t kLinesPerSecond = 100;

  /// Creates a log that writes to `sink`; every line carries `instance`.
  EventLog(std::string instance, LogSink sink);

  /// Queues a line unless the budget of its event type is used up.
  void Write(const LogLine& line, Instant now, WallTime wall);

 private:
  /// Usage of one event type in the window of one second that began at
  /// `window_start`.
  struct Budget {
    Instant window_start;
    uint32_t written = 0;
    uint64_t left_out = 0;
  };

  const std::string instance_;
  std::map<std::string, Budget, std::less<>> budgets_;
  OutputLoop output_;
};

/// A sink that writes lines to standard output and flushes each.
LogSink StandardOutputSink();

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_EVENT_LOG_H_

#ifndef FILBERTWICK_BASE_LOG_H_
#define FILBERTWICK_BASE_LOG_H_

#include <functional>
#include <string_view>

namespace filbertwick {

/// Receives one complete log line, without a line terminator.
using LogSink = std::function<void(std::string_view line)>;

/// Writes log lines with the fixed prefix of one component.
class Logger {
 public:
  /// Creates a logger that writes to `sink`. `prefix` must outlive it.
  Logger(std::string_view prefix, LogSink sink);

  /// Writes `prefix: text`, or the text alone when the prefix is empty.
  void Write(std::string_view text) const;

 private:
  std::string_view prefix_;
  LogSink sink_;
};

/// A sink that writes lines to standard error.
LogSink StandardErrorSink();

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_LOG_H_

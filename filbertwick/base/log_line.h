#ifndef FILBERTWICK_BASE_LOG_LINE_H_
#define FILBERTWICK_BASE_LOG_LINE_H_

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace filbertwick {

/// One structured log line: what happened, and the fields that explain it, as
/// one JSON object.
class LogLine {
 public:
  /// A line about `event`, a word with underscores.
  explicit LogLine(std::string_view event);

  /// Adds a text field; quotes and control characters are escaped.
  LogLine&& Add(std::string_view name, std::string_view value) &&;
  /// Adds a number.
  LogLine&& Add(std::string_view name, int64_t value) &&;

  /// Adds the message of a status as `cause`.
  LogLine&& Cause(const absl::Status& status) &&;

  /// The word it was made with.
  const std::string& event() const { return event_; }
  /// The JSON object, without a line end.
  std::string Text() const;
  /// The members of the object, without its braces.
  std::string Members() const;

 private:
  std::string event_;
  std::string fields_;
};

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_LOG_LINE_H_

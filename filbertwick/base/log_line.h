#ifndef FILBERTWICK_BASE_LOG_LINE_H_
#define FILBERTWICK_BASE_LOG_LINE_H_

#include <absl/status/status.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace filbertwick {

/// One structured log line: an event and its fields, as one JSON object.
class LogLine {
 public:
  /// Creates a line for `event`, an identifier in snake_case.
  explicit LogLine(std::string_view event);

  /// Adds a string field; quotes, backslashes and control characters in `value`
  /// are escaped.
  LogLine&& Add(std::string_view name, std::string_view value) &&;
  /// Adds a number field.
  LogLine&& Add(std::string_view name, int64_t value) &&;

  /// Adds the message of a status as the field `cause`.
  LogLine&& AddCause(const absl::Status& status) &&;

  /// The event that the line reports.
  const std::string& event() const { return event_; }
  /// The JSON object, without a line terminator.
  std::string Text() const;
  /// The members of the object, without its braces.
  std::string Members() const;

 private:
  std::string event_;
  std::string fields_;
};

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_LOG_LINE_H_

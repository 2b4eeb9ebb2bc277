#include "filbertwick/base/log_line.h"

#include <fmt/format.h>

#include <iterator>
#include <utility>

namespace filbertwick {
namespace {

void AppendEscaped(std::string_view text, std::string& out) {
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out.push_back('\\');
      out.push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20) {
      fmt::format_to(std::back_inserter(out), "\\u{:04x}",
                     static_cast<unsigned>(c));
    } else {
      out.push_back(c);
    }
  }
}

}  // namespace

LogLine::LogLine(std::string_view event) : event_(event) {}

LogLine&& LogLine::Add(std::string_view name, std::string_view value) && {
  fmt::format_to(std::back_inserter(fields_), ",\"{}\":\"", name);
  AppendEscaped(value, fields_);
  fields_.push_back('"');
  return std::move(*this);
}

LogLine&& LogLine::Add(std::string_view name, int64_t value) && {
  fmt::format_to(std::back_inserter(fields_), ",\"{}\":{}", name, value);
  return std::move(*this);
}

LogLine&& LogLine::AddCause(const absl::Status& status) && {
  return std::move(*this).Add("cause", std::string(status.message()));
}

std::string LogLine::Text() const {
  return fmt::format("{{{}}}", Members());
}

std::string LogLine::Members() const {
  return fmt::format("\"event\":\"{}\"{}", event_, fields_);
}

}  // namespace filbertwick

#include "filbertwick/http/target.h"

#include <charconv>

namespace filbertwick::http {
namespace {

/// Removes the text up to and including the next delimiter from the front of
/// `rest` and returns it without the delimiter.
std::string_view TakeUntil(std::string_view& rest, char delimiter) {
  const size_t end = rest.find(delimiter);
  const std::string_view part = rest.substr(0, end);
  rest = end == rest.npos ? std::string_view() : rest.substr(end + 1);
  return part;
}

}  // namespace

std::optional<uint64_t> ParseNumber(std::string_view text) {
  uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [it, ec] = std::from_chars(text.data(), end, number);
  return ec == std::errc() && it == end ? std::optional(number) : std::nullopt;
}

Target Target::Parse(std::string_view text) {
  Target target;
  target.query_ = text;
  std::string_view path = TakeUntil(target.query_, '?');
  while (!path.empty()) {
    const std::string_view segment = TakeUntil(path, '/');
    if (!segment.empty()) {
      target.segments_.push_back(segment);
    }
  }
  return target;
}

std::optional<std::string_view> Target::Find(std::string_view name) const {
  std::string_view rest = query_;
  while (!rest.empty()) {
    std::string_view value = TakeUntil(rest, '&');
    if (TakeUntil(value, '=') == name) {
      return value;
    }
  }
  return std::nullopt;
}

std::optional<uint64_t> Target::FindNumber(std::string_view name) const {
  const auto value = Find(name);
  return value ? ParseNumber(*value) : std::nullopt;
}

}  // namespace filbertwick::http

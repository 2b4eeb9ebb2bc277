#include "filbertwick/net/target.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <charconv>
#include <iterator>
#include <optional>

namespace filbertwick::net {
namespace {

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

std::optional<char> DecodeEscape(std::string_view digits) {
  unsigned value = 0;
  const char* const end = digits.data() + digits.size();
  const auto [rest, ec] = std::from_chars(digits.data(), end, value, 16);
  if (digits.size() != 2 || ec != std::errc() || rest != end) {
    return std::nullopt;
  }
  return static_cast<char>(value);
}

std::optional<std::string> PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (size_t n = 0; n < text.size(); ++n) {
    if (text[n] != '%') {
      decoded.push_back(text[n]);
      continue;
    }
    const auto c = DecodeEscape(text.substr(n + 1, 2));
    if (!c) {
      return std::nullopt;
    }
    decoded.push_back(*c);
    n += 2;
  }
  return decoded;
}

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  boost::split(parts, text, [=](char c) { return c == separator; });
  return parts;
}

}  // namespace

absl::StatusOr<Target> ParseTarget(std::string_view text) {
  const auto wrong = absl::InvalidArgumentError("the target is damaged");
  if (!text.starts_with('/')) {
    return wrong;
  }
  const size_t mark = std::min(text.find('?'), text.size());
  Target target;
  for (const std::string& part : Split(text.substr(1, mark - 1), '/')) {
    auto segment = PercentDecode(part);
    if (!segment) {
      return wrong;
    }
    target.segments.push_back(*std::move(segment));
  }
  if (mark + 1 >= text.size()) {
    return target;
  }
  for (const std::string& part : Split(text.substr(mark + 1), '&')) {
    const size_t equals = std::min(part.find('='), part.size());
    auto key = PercentDecode(std::string_view(part).substr(0, equals));
    auto value = PercentDecode(
        std::string_view(part).substr(std::min(equals + 1, part.size())));
    if (!key || !value) {
      return wrong;
    }
    target.query[*std::move(key)] = *std::move(value);
  }
  return target;
}

std::string PercentEncode(std::string_view text) {
  std::string encoded;
  for (const char c : text) {
    if (IsUnreserved(c)) {
      encoded.push_back(c);
    } else {
      fmt::format_to(std::back_inserter(encoded), "%{:02X}",
                     static_cast<unsigned char>(c));
    }
  }
  return encoded;
}

}  // namespace filbertwick::net

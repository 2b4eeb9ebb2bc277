#include "filbertwick/net/percent_encoding.h"

#include <fmt/format.h>

#include <charconv>
#include <iterator>
#include <system_error>

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

}  // namespace

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

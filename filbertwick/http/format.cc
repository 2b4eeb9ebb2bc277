#include "filbertwick/http/format.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>

namespace filbertwick::http {
namespace {

constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";

bool IsTokenCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || kTokenSymbols.find(c) != kTokenSymbols.npos;
}

bool IsBodyFramingHeader(std::string_view name) {
  return boost::algorithm::iequals(name, "Content-Length") ||
         boost::algorithm::iequals(name, "Transfer-Encoding");
}

void AppendSanitizedValue(std::string_view value, std::string& out) {
  std::ranges::transform(value, std::back_inserter(out), [](char c) {
    return c == '\r' || c == '\n' || c == '\0' ? ' ' : c;
  });
}

}  // namespace

bool IsValidToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, IsTokenCharacter);
}

bool IsValidTarget(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](char c) {
    return static_cast<unsigned char>(c) > ' ' && c != '\x7f';
  });
}

void AppendHeaders(std::span<const Header> headers, std::string& out) {
  for (const Header& header : headers) {
    if (!IsValidToken(header.name) || IsBodyFramingHeader(header.name)) {
      continue;
    }
    out += header.name;
    out += ": ";
    AppendSanitizedValue(header.value, out);
    out += "\r\n";
  }
}

void AppendContentLength(size_t n, std::string& out) {
  out += "Content-Length: ";
  out += fmt::format_int(n).str();
  out += "\r\n";
}

}  // namespace filbertwick::http

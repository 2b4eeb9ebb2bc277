#include "filbertwick/json/text_writer.h"

#include <fmt/format.h>

#include <boost/locale/utf.hpp>
#include <cmath>
#include <utility>

namespace filbertwick::json {
namespace {

/// U+FFFD in UTF-8.
constexpr std::string_view kReplacementCharacter = "\xef\xbf\xbd";
constexpr unsigned char kFirstPrintableAscii = 0x20;

void AppendEscapedAscii(std::string& out, char c) {
  switch (c) {
    case '"':
      out += "\\\"";
      return;
    case '\\':
      out += "\\\\";
      return;
    case '\n':
      out += "\\n";
      return;
    case '\t':
      out += "\\t";
      return;
    default:
      break;
  }
  if (static_cast<unsigned char>(c) < kFirstPrintableAscii) {
    fmt::format_to(std::back_inserter(out), "\\u{:04x}",
                   static_cast<unsigned char>(c));
    return;
  }
  out += c;
}

}  // namespace

std::string Quote(std::string_view text) {
  using Traits = boost::locale::utf::utf_traits<char>;
  std::string out = "\"";
  out.reserve(text.size() + 2);
  const char* p = text.data();
  const char* const end = p + text.size();
  while (p != end) {
    const char* const start = p;
    const auto code_point = Traits::decode(p, end);
    if (!boost::locale::utf::is_valid_codepoint(code_point)) {
      // Replaces only the first byte of an invalid sequence: the bytes after it
      // may be valid text, which must not be lost.
      p = start + 1;
      out += kReplacementCharacter;
    } else if (p - start == 1) {
      AppendEscapedAscii(out, *start);
    } else {
      out.append(start, p);
    }
  }
  out += '"';
  return out;
}

TextWriter& TextWriter::BeginObject() {
  return OpenContainer('{');
}

TextWriter& TextWriter::EndObject() {
  return CloseContainer('}');
}

TextWriter& TextWriter::BeginArray() {
  return OpenContainer('[');
}

TextWriter& TextWriter::EndArray() {
  return CloseContainer(']');
}

TextWriter& TextWriter::Key(std::string_view name) {
  AppendValue(Quote(name));
  text_ += ':';
  needs_comma_ = false;
  return *this;
}

TextWriter& TextWriter::Value(std::string_view text) {
  return AppendValue(Quote(text));
}

TextWriter& TextWriter::Value(double number) {
  return AppendValue(std::isfinite(number) ? fmt::format("{}", number)
                                           : "null");
}

std::string TextWriter::Take() {
  needs_comma_ = false;
  return std::exchange(text_, {});
}

TextWriter& TextWriter::AppendValue(std::string_view value) {
  if (needs_comma_) {
    text_ += ',';
  }
  text_ += value;
  needs_comma_ = true;
  return *this;
}

TextWriter& TextWriter::OpenContainer(char bracket) {
  AppendValue(std::string_view(&bracket, 1));
  needs_comma_ = false;
  return *this;
}

TextWriter& TextWriter::CloseContainer(char bracket) {
  text_ += bracket;
  needs_comma_ = true;
  return *this;
}

}  // namespace filbertwick::json

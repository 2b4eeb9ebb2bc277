#ifndef FILBERTWICK_JSON_TEXT_WRITER_H_
#define FILBERTWICK_JSON_TEXT_WRITER_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "filbertwick/base/name.h"

namespace filbertwick::json {

/// Returns `text` as a quoted and escaped JSON string. Each invalid UTF-8 byte
/// is replaced by U+FFFD.
std::string Quote(std::string_view text);

/// Builds one JSON value incrementally, without line breaks. The caller must
/// call Key() before each value of an object and must close every object and
/// array; the writer does not check this.
class TextWriter {
 public:
  TextWriter& BeginObject();
  TextWriter& EndObject();
  TextWriter& BeginArray();
  TextWriter& EndArray();
  /// Writes the key of the object's next value.
  TextWriter& Key(std::string_view name);

  /// Writes `text` as a JSON string, escaped by Quote().
  TextWriter& Value(std::string_view text);
  TextWriter& Value(const char* text) { return Value(std::string_view(text)); }
  TextWriter& Value(const std::string& text) {
    return Value(std::string_view(text));
  }
  template <std::integral Int>
  TextWriter& Value(Int number) {
    if constexpr (std::same_as<Int, bool>) {
      return AppendValue(number ? "true" : "false");
    } else {
      return AppendValue(std::to_string(number));
    }
  }
  /// Writes a number. JSON has no infinity and NaN; they become null.
  TextWriter& Value(double number);
  template <typename Tag>
  TextWriter& Value(const Name<Tag>& name) {
    return Value(name.value());
  }
  TextWriter& Null() { return AppendValue("null"); }

  /// Writes a key and its value.
  template <typename T>
  TextWriter& Member(std::string_view name, const T& value) {
    return Key(name).Value(value);
  }

  /// Returns the JSON text and resets the writer to empty.
  std::string Take();

 private:
  /// Appends an already encoded value, preceded by a comma if needed.
  TextWriter& AppendValue(std::string_view value);
  TextWriter& OpenContainer(char bracket);
  TextWriter& CloseContainer(char bracket);

  std::string text_;
  bool needs_comma_ = false;
};

}  // namespace filbertwick::json

#endif  // FILBERTWICK_JSON_TEXT_WRITER_H_

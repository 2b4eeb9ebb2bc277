#ifndef FILBERTWICK_JSON_TEXT_WRITER_H_
#define FILBERTWICK_JSON_TEXT_WRITER_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "filbertwick/base/name.h"

namespace filbertwick::json {

/// `text` as a JSON string with its quotes. Bytes that are not UTF-8 become
/// U+FFFD.
std::string Quote(std::string_view text);

/// Writes one JSON value, piece by piece, on one line. Inside objects each
/// value follows its Key().
class TextWriter {
 public:
  TextWriter& BeginObject();
  TextWriter& EndObject();
  TextWriter& BeginArray();
  TextWriter& EndArray();
  /// The name of the next value of an object.
  TextWriter& Key(std::string_view name);

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
  /// A number; infinite ones and NaN become null.
  TextWriter& Value(double number);
  template <typename Tag>
  TextWriter& Value(const Name<Tag>& name) {
    return Value(name.value());
  }
  TextWriter& Null() { return AppendValue("null"); }

  /// Key() and Value() in one.
  template <typename T>
  TextWriter& Member(std::string_view name, const T& value) {
    return Key(name).Value(value);
  }

  /// The text; the writer is empty after it.
  std::string Take();

 private:
  /// Puts a finished value where the next one belongs.
  TextWriter& AppendValue(std::string_view value);
  TextWriter& OpenContainer(char bracket);
  TextWriter& CloseContainer(char bracket);

  std::string text_;
  bool needs_comma_ = false;
};

}  // namespace filbertwick::json

#endif  // FILBERTWICK_JSON_TEXT_WRITER_H_

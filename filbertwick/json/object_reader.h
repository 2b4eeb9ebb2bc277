#ifndef FILBERTWICK_JSON_OBJECT_READER_H_
#define FILBERTWICK_JSON_OBJECT_READER_H_

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/json/document.h"

namespace filbertwick::json {

/// Smallest and largest value allowed.
struct Range {
  uint64_t min = 0;
  uint64_t max = std::numeric_limits<uint64_t>::max();
};

/// Most bytes of a name in a file; names are letters, digits, `.`, `_`, `-`.
inline constexpr size_t kMaxNameBytes = 64;

/// Whether a field may be left out.
enum class Presence { kRequired, kOptional };

/// One word that stands for a value of an enumeration.
template <typename Enum>
struct Choice {
  std::string_view word;
  Enum value;
};

/// Reads the fields of one object. Each getter notes its field as known, and
/// reports a missing or wrong value at its place; it then returns the fallback
/// or an empty value. Getters without a fallback are of required fields.
/// Finish() reports what is left over.
class ObjectReader {
 public:
  /// Reads `node`; anything but an object is a finding.
  explicit ObjectReader(const Node& node);

  /// True when the field is there and not null.
  bool Has(std::string_view name) const;
  /// The field, or the object itself when it is not there: the place for
  /// findings of later checks.
  Node At(std::string_view name) const;
  /// The object itself.
  const Node& node() const { return node_; }

  /// An integer inside `range`.
  template <typename Int>
  Int Integer(std::string_view name,
              Range range,
              std::optional<Int> fallback = std::nullopt) {
    range.max = std::min<uint64_t>(range.max, std::numeric_limits<Int>::max());
    return static_cast<Int>(ReadInteger(name, range, fallback));
  }

  /// A number between `min` and `max`.
  double Number(std::string_view name,
                double min,
                double max,
                std::optional<double> fallback = std::nullopt);

  /// Whole milliseconds inside `range`.
  Duration Milliseconds(std::string_view name,
                        Range range,
                        std::optional<Duration> fallback = std::nullopt);

  /// True or false.
  bool Boolean(std::string_view name,
               std::optional<bool> fallback = std::nullopt);

  /// A string whose bytes lie inside `range`.
  std::string String(std::string_view name,
                     Range bytes,
                     const std::optional<std::string>& fallback = std::nullopt);

  /// A name of 1 to kMaxNameBytes letters, digits, `.`, `_` or `-`.
  template <typename NameType>
  NameType ReadName(std::string_view name,
                    std::optional<NameType> fallback = std::nullopt) {
    return NameType(ReadNameString(
        name, fallback ? std::optional(fallback->value()) : std::nullopt));
  }

  /// One of the words of `choices`.
  template <typename Enum>
  Enum ReadChoice(std::string_view name,
                  std::span<const Choice<Enum>> choices,
                  std::optional<Enum> fallback = std::nullopt) {
    std::vector<std::string_view> words;
    for (const Choice<Enum>& choice : choices) {
      words.push_back(choice.word);
    }
    const auto n = ReadChoiceIndex(name, words, fallback.has_value());
    return n ? choices[*n].value : fallback.value_or(choices[0].value);
  }

  /// The elements of an array whose size lies inside `size`; an absent array
  /// counts as empty when `size.min` is 0.
  std::vector<Node> Array(std::string_view name, Range size);

  /// An array of different names.
  template <typename NameType>
  std::vector<NameType> Names(std::string_view name, Range size) {
    std::vector<NameType> names;
    for (std::string& text : ReadNameStrings(name, size)) {
      names.emplace_back(std::move(text));
    }
    return names;
  }

  /// An array of strings whose bytes lie inside `bytes`.
  std::vector<std::string> Strings(std::string_view name,
                                   Range size,
                                   Range bytes);

  /// An object below this one; nothing when it is missing or wrong.
  std::optional<ObjectReader> Object(std::string_view name,
                                     Presence presence = Presence::kRequired);

  /// Reports every field that no getter asked for.
  void Finish();

 private:
  /// Notes `name` as known; the value, or null when it is absent. An absent
  /// field that is required is reported.
  const Json::Value* FindField(std::string_view name, bool required);
  uint64_t ReadInteger(std::string_view name,
                       Range range,
                       std::optional<uint64_t> fallback);
  std::string ReadNameString(std::string_view name,
                             const std::optional<std::string>& fallback);
  std::vector<std::string> ReadNameStrings(std::string_view name, Range size);
  std::optional<size_t> ReadChoiceIndex(std::string_view name,
                                        std::span<const std::string_view> words,
                                        bool has_fallback);

  Node node_;
  bool is_object_;
  std::vector<std::string> known_fields_;
};

}  // namespace filbertwick::json

#endif  // FILBERTWICK_JSON_OBJECT_READER_H_

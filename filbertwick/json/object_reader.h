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

/// Inclusive range of allowed values.
struct Range {
  uint64_t min = 0;
  uint64_t max = std::numeric_limits<uint64_t>::max();
};

/// Maximum length of a name; names consist of ASCII letters, digits, `.`, `_`
/// and `-`.
inline constexpr size_t kMaxNameBytes = 64;

/// Whether a field may be omitted.
enum class Presence { kRequired, kOptional };

/// The JSON string that represents an enum value.
template <typename Enum>
struct Choice {
  std::string_view word;
  Enum value;
};

/// Reads and validates the fields of one JSON object. Unless noted otherwise, a
/// field is required if its getter is called without a fallback. A getter
/// reports a missing required field at the object and an invalid value at the
/// field. It then returns the fallback or, without one, a default: the smallest
/// allowed number, false, an empty string or list, or the first choice. The
/// caller reads on after an error, so that one pass reports all findings.
/// Finish() reports unknown fields.
class ObjectReader {
 public:
  /// Reports an error if `node` is not an object; getters then return defaults
  /// without further findings.
  explicit ObjectReader(const Node& node);

  /// Returns true if the field exists and is not null.
  bool Has(std::string_view name) const;
  /// Returns the field, or the object itself if the field is absent. Checks
  /// that span several fields report their findings at this node.
  Node At(std::string_view name) const;
  /// The object that this reader reads.
  const Node& node() const { return node_; }

  /// Reads an integer within `range` and within the limits of `Int`.
  template <typename Int>
  Int Integer(std::string_view name,
              Range range,
              std::optional<Int> fallback = std::nullopt) {
    range.max = std::min<uint64_t>(range.max, std::numeric_limits<Int>::max());
    return static_cast<Int>(ReadInteger(name, range, fallback));
  }

  /// Reads a number from `min` to `max`, both inclusive.
  double Number(std::string_view name,
                double min,
                double max,
                std::optional<double> fallback = std::nullopt);

  /// Reads an integer number of milliseconds within `range`.
  Duration Milliseconds(std::string_view name,
                        Range range,
                        std::optional<Duration> fallback = std::nullopt);

  /// Reads `true` or `false`; numbers are not accepted.
  bool Boolean(std::string_view name,
               std::optional<bool> fallback = std::nullopt);

  /// Reads a string whose length in bytes is within `bytes`.
  std::string String(std::string_view name,
                     Range bytes,
                     const std::optional<std::string>& fallback = std::nullopt);

  /// Reads a name of 1 to kMaxNameBytes ASCII letters, digits, `.`, `_` or `-`.
  template <typename NameType>
  NameType ReadName(std::string_view name,
                    std::optional<NameType> fallback = std::nullopt) {
    return NameType(ReadNameString(
        name, fallback ? std::optional(fallback->value()) : std::nullopt));
  }

  /// Reads a string that matches the `word` of one of `choices`, which must not
  /// be empty, and returns its value.
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

  /// Returns the elements of an array whose length is within `size`. An absent
  /// array counts as empty if `size.min` is 0 and is an error otherwise.
  std::vector<Node> Array(std::string_view name, Range size);

  /// Reads an array of names; a repeated name is an error.
  template <typename NameType>
  std::vector<NameType> Names(std::string_view name, Range size) {
    std::vector<NameType> names;
    for (std::string& text : ReadNameStrings(name, size)) {
      names.emplace_back(std::move(text));
    }
    return names;
  }

  /// Reads an array of strings, each with a length in bytes within `bytes`.
  /// Invalid elements are reported and skipped.
  std::vector<std::string> Strings(std::string_view name,
                                   Range size,
                                   Range bytes);

  /// Returns a reader of a nested object, or nullopt if the field is absent or
  /// not an object.
  std::optional<ObjectReader> Object(std::string_view name,
                                     Presence presence = Presence::kRequired);

  /// Reports every field that no getter has read as unknown. Call it after the
  /// last getter.
  void Finish();

 private:
  /// Marks the field as known and returns its value, or null if it is absent.
  /// Reports a required field that is absent.
  const Json::Value* FindField(std::string_view name, bool required);
  uint64_t ReadInteger(std::string_view name,
                       Range range,
                       std::optional<uint64_t> fallback);
  std::string ReadNameString(std::string_view name,
                             const std::optional<std::string>& fallback);
  std::vector<std::string> ReadNameStrings(std::string_view name, Range size);
  /// Returns the index in `words` of the field's string, or nullopt if the
  /// field is absent or matches none of them.
  std::optional<size_t> ReadChoiceIndex(std::string_view name,
                                        std::span<const std::string_view> words,
                                        bool has_fallback);

  Node node_;
  bool is_object_;
  /// Names of the fields that getters have asked for.
  std::vector<std::string> known_fields_;
};

}  // namespace filbertwick::json

#endif  // FILBERTWICK_JSON_OBJECT_READER_H_

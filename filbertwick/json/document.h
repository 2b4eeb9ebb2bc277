#ifndef FILBERTWICK_JSON_DOCUMENT_H_
#define FILBERTWICK_JSON_DOCUMENT_H_

#include <json/forwards.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "filbertwick/base/finding.h"

namespace filbertwick::json {

/// Whether `//` and `/* */` comments may stand in a text.
enum class Comments { kAllowed, kForbidden };

/// Most arrays and objects inside one another.
inline constexpr int kMaxDepth = 32;
/// Most findings kept of one document; the rest are counted only.
inline constexpr size_t kMaxFindings = 100;

/// A value of a document, with its place. Valid as long as the document.
class Node {
 public:
  /// Path from the root, such as `/services/0/name`; `/` is the root.
  const std::string& path() const { return path_; }

  /// The value when it is a string, without quotes and escapes.
  std::optional<std::string> AsString() const;
  /// The value's JSON text; `text` is what the document was parsed from.
  std::string_view SourceIn(std::string_view text) const;
  /// The field of an object, or the element of an array, that `name` names.
  std::optional<Node> Child(std::string_view name) const;

  /// Adds a finding at this place; errors make the document invalid.
  void Report(std::string_view text,
              Severity severity = Severity::kError) const;

 private:
  friend class Document;
  friend class ObjectReader;
  class State;

  Node(std::shared_ptr<State> state, const Json::Value* value, std::string path)
      : state_(std::move(state)), value_(value), path_(std::move(path)) {}

  std::shared_ptr<State> state_;
  const Json::Value* value_;
  std::string path_;
};

/// A parsed JSON text, which collects what its readers find wrong.
class Document {
 public:
  /// Parses a whole text. Wrong syntax, duplicate keys, bytes that are not
  /// UTF-8 and too deep nesting are findings; `file` is the name they carry.
  static Document Parse(std::string_view file,
                        std::string_view text,
                        Comments comments);

  /// The root; only when the syntax is right.
  Node root() const;
  /// The value at a path, or the nearest one above it that is there.
  Node Find(std::string_view path) const;
  /// True when the text could be parsed, so that root() may be read.
  bool parsed() const;
  /// True when no finding is an error so far.
  bool ok() const;
  /// All findings so far, in order of line.
  Findings findings() const;

 private:
  explicit Document(std::shared_ptr<Node::State> state);
  std::shared_ptr<Node::State> state_;
};

}  // namespace filbertwick::json

#endif  // FILBERTWICK_JSON_DOCUMENT_H_

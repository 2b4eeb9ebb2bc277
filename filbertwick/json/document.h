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

/// Whether the parser accepts `//` and `/* */` comments.
enum class Comments { kAllowed, kForbidden };

/// Maximum nesting depth of arrays and objects.
inline constexpr int kMaxDepth = 32;
/// Maximum number of findings stored per document; further ones are only
/// counted.
inline constexpr size_t kMaxFindings = 100;

/// A JSON value and its path in the document. A node shares ownership of the
/// document's values and findings, so it may outlive the Document.
class Node {
 public:
  /// Path from the root, such as `/services/0/name`; the root's path is `/`.
  const std::string& path() const { return path_; }

  /// Returns the unquoted, unescaped string, or nullopt if the value is not a
  /// string.
  std::optional<std::string> AsString() const;
  /// Returns the JSON source of this value. `text` must be the text that the
  /// document was parsed from.
  std::string_view SourceText(std::string_view text) const;
  /// Returns the object field called `name`, or the array element whose decimal
  /// index is `name`; nullopt if there is none.
  std::optional<Node> Child(std::string_view name) const;

  /// Adds a finding at this value's line and path. After a finding of severity
  /// kError, Document::ok() is false.
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

/// A parsed JSON text. Collects the findings of the parser and of the readers
/// that validate its values.
class Document {
 public:
  /// Parses the complete `text`. Syntax errors, duplicate keys, invalid UTF-8
  /// and nesting beyond kMaxDepth are reported as findings under the file name
  /// `file`.
  static Document Parse(std::string_view file,
                        std::string_view text,
                        Comments comments);

  /// Returns the root value. Requires parsed().
  Node root() const;
  /// Returns the value at `path`, or its closest existing ancestor.
  Node Find(std::string_view path) const;
  /// Returns true if the syntax is valid, apart from duplicate keys, so that
  /// root() may be read.
  bool parsed() const;
  /// Returns true if no error has been reported so far.
  bool ok() const;
  /// Returns the findings reported so far, sorted by line. If more than
  /// kMaxFindings were reported, a last entry gives the number of omitted ones.
  Findings findings() const;

 private:
  explicit Document(std::shared_ptr<Node::State> state);
  std::shared_ptr<Node::State> state_;
};

}  // namespace filbertwick::json

#endif  // FILBERTWICK_JSON_DOCUMENT_H_

#include "filbertwick/json/duplicate_keys.h"

#include <fmt/format.h>

#include <set>

namespace filbertwick::json {
namespace {

/// Scans the tokens of a valid JSON text and collects duplicate keys. Does no
/// bounds or syntax checks, so that invalid text leads to undefined behavior.
class KeyScanner {
 public:
  explicit KeyScanner(std::string_view text) : text_(text) {}

  std::vector<DuplicateKey> Scan() {
    while (offset_ < text_.size()) {
      ScanToken();
    }
    return std::move(duplicates_);
  }

 private:
  /// An array or object that encloses the current token.
  struct Container {
    explicit Container(bool object) : is_object(object), expects_key(object) {}

    bool is_object;
    /// True if the next string is a key of this object.
    bool expects_key;
    /// Index of the current array element.
    size_t index = 0;
    /// Last key read in this object, escaped as in the text.
    std::string key;
    /// All keys read in this object so far.
    std::set<std::string, std::less<>> keys;
  };

  void ScanToken() {
    switch (text_[offset_]) {
      case '"':
        ScanString();
        return;
      case '/':
        SkipComment();
        return;
      case '{':
        containers_.push_back(Container(true));
        break;
      case '[':
        containers_.push_back(Container(false));
        break;
      case '}':
      case ']':
        containers_.pop_back();
        break;
      case ',':
        containers_.back().expects_key = containers_.back().is_object;
        ++containers_.back().index;
        break;
      default:
        break;
    }
    ++offset_;
  }

  void ScanString() {
    const size_t start = offset_;
    for (++offset_; text_[offset_] != '"'; ++offset_) {
      offset_ += text_[offset_] == '\\' ? 1 : 0;
    }
    ++offset_;
    if (containers_.empty() || !containers_.back().expects_key) {
      return;
    }
    Container& container = containers_.back();
    container.expects_key = false;
    container.key = text_.substr(start + 1, offset_ - start - 2);
    if (!container.keys.insert(container.key).second) {
      duplicates_.push_back({start, Path()});
    }
  }

  void SkipComment() {
    const bool is_line = text_.substr(offset_, 2) == "//";
    const std::string_view end = is_line ? "\n" : "*/";
    const size_t found = text_.find(end, offset_ + 2);
    offset_ =
        found == std::string_view::npos ? text_.size() : found + end.size();
  }

  /// Path of the current value.
  std::string Path() const {
    std::string path;
    for (const Container& container : containers_) {
      path += container.is_object ? "/" + container.key
                                  : fmt::format("/{}", container.index);
    }
    return path;
  }

  std::string_view text_;
  size_t offset_ = 0;
  std::vector<Container> containers_;
  std::vector<DuplicateKey> duplicates_;
};

}  // namespace

std::vector<DuplicateKey> FindDuplicateKeys(std::string_view text) {
  return KeyScanner(text).Scan();
}

}  // namespace filbertwick::json

#include "filbertwick/json/duplicate_keys.h"

#include <fmt/format.h>

#include <set>

namespace filbertwick::json {
namespace {

/// Walks over the tokens of a valid text and keeps the place.
class KeyScanner {
 public:
  explicit KeyScanner(std::string_view text) : text_(text) {}

  std::vector<DuplicateKey> Scan() {
    while (at_ < text_.size()) {
      Step();
    }
    return std::move(duplicates_);
  }

 private:
  /// An array or object that is open at the place of the scanner.
  struct Level {
    explicit Level(bool object) : is_object(object), expects_key(object) {}

    bool is_object;
    /// The next string of an object is a key.
    bool expects_key;
    size_t index = 0;
    std::string key;
    std::set<std::string, std::less<>> keys;
  };

  void Step() {
    switch (text_[at_]) {
      case '"':
        TakeString();
        return;
      case '/':
        SkipComment();
        return;
      case '{':
        levels_.push_back(Level(true));
        break;
      case '[':
        levels_.push_back(Level(false));
        break;
      case '}':
      case ']':
        levels_.pop_back();
        break;
      case ',':
        levels_.back().expects_key = levels_.back().is_object;
        ++levels_.back().index;
        break;
      default:
        break;
    }
    ++at_;
  }

  void TakeString() {
    const size_t start = at_;
    for (++at_; text_[at_] != '"'; ++at_) {
      at_ += text_[at_] == '\\' ? 1 : 0;
    }
    ++at_;
    if (levels_.empty() || !levels_.back().expects_key) {
      return;
    }
    Level& level = levels_.back();
    level.expects_key = false;
    level.key = text_.substr(start + 1, at_ - start - 2);
    if (!level.keys.insert(level.key).second) {
      duplicates_.push_back({start, Path()});
    }
  }

  void SkipComment() {
    const bool is_line = text_.substr(at_, 2) == "//";
    const std::string_view end = is_line ? "\n" : "*/";
    const size_t found = text_.find(end, at_ + 2);
    at_ = found == std::string_view::npos ? text_.size() : found + end.size();
  }

  std::string Path() const {
    std::string path;
    for (const Level& level : levels_) {
      path +=
          level.is_object ? "/" + level.key : fmt::format("/{}", level.index);
    }
    return path;
  }

  std::string_view text_;
  size_t at_ = 0;
  std::vector<Level> levels_;
  std::vector<DuplicateKey> duplicates_;
};

}  // namespace

std::vector<DuplicateKey> FindDuplicateKeys(std::string_view text) {
  return KeyScanner(text).Scan();
}

}  // namespace filbertwick::json

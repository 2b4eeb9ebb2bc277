#ifndef FILBERTWICK_HTTP_TARGET_H_
#define FILBERTWICK_HTTP_TARGET_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace filbertwick::http {

/// A request target taken apart; views into the text it was read from.
class Target {
 public:
  /// Reads `/a/b?x=1&y=2`. Nothing is decoded.
  static Target Parse(std::string_view text);

  /// Parts of the path between the slashes.
  const std::vector<std::string_view>& segments() const { return segments_; }

  /// Value of a query field; nothing when absent.
  std::optional<std::string_view> Find(std::string_view name) const;

  /// Number in a query field; nothing when absent or no decimal number.
  std::optional<uint64_t> FindNumber(std::string_view name) const;

 private:
  std::vector<std::string_view> segments_;
  std::string_view query_;
};

/// A decimal number that fills the whole text, else nothing.
std::optional<uint64_t> ParseNumber(std::string_view text);

}  // namespace filbertwick::http

#endif  // FILBERTWICK_HTTP_TARGET_H_

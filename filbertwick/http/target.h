#ifndef FILBERTWICK_HTTP_TARGET_H_
#define FILBERTWICK_HTTP_TARGET_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace filbertwick::http {

/// The path segments and query of a request target. All views point into the
/// parsed text, which must outlive the Target.
class Target {
 public:
  /// Parses a target such as `/a/b?x=1&y=2`, without percent-decoding. Every
  /// text is accepted.
  static Target Parse(std::string_view text);

  /// Returns the path segments between the slashes; empty ones are omitted.
  const std::vector<std::string_view>& segments() const { return segments_; }

  /// Returns the value of the first query parameter of this name, or nullopt.
  std::optional<std::string_view> Find(std::string_view name) const;

  /// Returns the value of a query parameter as a number, or nullopt if the
  /// parameter is absent or not an unsigned decimal number.
  std::optional<uint64_t> FindNumber(std::string_view name) const;

 private:
  std::vector<std::string_view> segments_;
  std::string_view query_;
};

/// Returns the unsigned decimal number that makes up the whole text, or nullopt
/// if there is anything else in it or it exceeds 64 bits.
std::optional<uint64_t> ParseNumber(std::string_view text);

}  // namespace filbertwick::http

#endif  // FILBERTWICK_HTTP_TARGET_H_

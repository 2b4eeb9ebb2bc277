#ifndef FILBERTWICK_NET_TARGET_H_
#define FILBERTWICK_NET_TARGET_H_

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace filbertwick::net {

/// The target of a request, percent-decoded.
struct Target {
  std::vector<std::string> segments;
  std::map<std::string, std::string, std::less<>> query;
};

/// Splits `/a/b?c=d`; InvalidArgument for a wrong escape or a target that does
/// not start with a slash.
absl::StatusOr<Target> ParseTarget(std::string_view text);

/// `text` with all but letters, digits, `-`, `.`, `_` and `~` escaped.
std::string PercentEncode(std::string_view text);

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_TARGET_H_

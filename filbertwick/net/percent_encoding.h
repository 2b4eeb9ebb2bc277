#ifndef FILBERTWICK_NET_PERCENT_ENCODING_H_
#define FILBERTWICK_NET_PERCENT_ENCODING_H_

#include <optional>
#include <string>
#include <string_view>

namespace filbertwick::net {

/// Replaces the percent escapes in `text` by their bytes. Returns nullopt if an
/// escape is malformed.
std::optional<std::string> PercentDecode(std::string_view text);

/// Percent-escapes all bytes of `text` except ASCII letters, digits, `-`, `.`,
/// `_` and `~`.
std::string PercentEncode(std::string_view text);

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_PERCENT_ENCODING_H_

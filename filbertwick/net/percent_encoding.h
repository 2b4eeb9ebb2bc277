#ifndef FILBERTWICK_NET_PERCENT_ENCODING_H_
#define FILBERTWICK_NET_PERCENT_ENCODING_H_

#include <optional>
#include <string>
#include <string_view>

namespace filbertwick::net {

/// `text` with its escapes replaced by their bytes; nothing when one is wrong.
std::optional<std::string> PercentDecode(std::string_view text);

/// `text` with all but letters, digits, `-`, `.`, `_` and `~` escaped.
std::string PercentEncode(std::string_view text);

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_PERCENT_ENCODING_H_

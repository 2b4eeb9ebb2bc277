#ifndef FILBERTWICK_JSON_DUPLICATE_KEYS_H_
#define FILBERTWICK_JSON_DUPLICATE_KEYS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace filbertwick::json {

/// A key that stands a second time in its object.
struct DuplicateKey {
  /// Byte offset of the second one.
  size_t offset = 0;
  std::string path;
};

/// All duplicate keys of a text that is valid JSON with comments. Keys are
/// compared as written, escapes included.
std::vector<DuplicateKey> FindDuplicateKeys(std::string_view text);

}  // namespace filbertwick::json

#endif  // FILBERTWICK_JSON_DUPLICATE_KEYS_H_

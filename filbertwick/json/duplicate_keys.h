#ifndef FILBERTWICK_JSON_DUPLICATE_KEYS_H_
#define FILBERTWICK_JSON_DUPLICATE_KEYS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace filbertwick::json {

/// A key that repeats an earlier key of the same object.
struct DuplicateKey {
  /// Byte offset of the repeated key.
  size_t offset = 0;
  /// Path of the field, such as `/items/0/n`.
  std::string path;
};

/// Returns the duplicate keys of `text`, which must be valid JSON, optionally
/// with comments. Keys are compared in their escaped form, so `"a"` and
/// `"\u0061"` count as different keys.
std::vector<DuplicateKey> FindDuplicateKeys(std::string_view text);

}  // namespace filbertwick::json

#endif  // FILBERTWICK_JSON_DUPLICATE_KEYS_H_

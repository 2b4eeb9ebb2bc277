#ifndef FILBERTWICK_BASE_FILE_H_
#define FILBERTWICK_BASE_FILE_H_

#include <absl/status/statusor.h>

#include <string>

namespace filbertwick {

/// Largest file that ReadFile() reads, in bytes.
inline constexpr size_t kMaxFileBytes = 16 * 1024 * 1024;

/// The contents of a regular file; NotFound when it can't be opened or read,
/// OutOfRange when it is larger than kMaxFileBytes.
absl::StatusOr<std::string> ReadFile(const std::string& path);

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_FILE_H_

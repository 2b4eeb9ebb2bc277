#include "filbertwick/base/file.h"

#include <absl/status/status.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace filbertwick {

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::error_code ec;
  const auto size = std::filesystem::file_size(path, ec);
  if (ec) {
    return absl::NotFoundError("can't be read: " + ec.message());
  }
  if (size > kMaxFileBytes) {
    return absl::OutOfRangeError("is larger than 16 MiB");
  }
  std::ifstream stream(path, std::ios::binary);
  std::string text(size, '\0');
  if (!stream.read(text.data(), static_cast<std::streamsize>(size))) {
    return absl::NotFoundError("can't be read: " +
                               std::generic_category().message(errno));
  }
  return text;
}

}  // namespace filbertwick

#include "filbertwick/platform/log_protocol.h"

#include <fmt/format.h>

namespace filbertwick::platform {

std::string FormatAppendTarget(std::string_view stream) {
  return fmt::format("/v1/streams/{}/records", stream);
}

std::string FormatReadTarget(std::string_view stream,
                             uint64_t from,
                             Duration wait) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  return fmt::format("{}?from={}&wait_ms={}", FormatAppendTarget(stream), from,
                     wait_ms);
}

}  // namespace filbertwick::platform

#include "filbertwick/tool/job_id.h"

#include <fmt/format.h>

namespace filbertwick::tool {

std::string MakeJobId(WallTime now, uint64_t high, uint64_t low) {
  const auto millis = static_cast<uint64_t>(now.unix_millis);
  return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}",
                     (millis >> 16) & 0xffffffff, millis & 0xffff, high & 0xfff,
                     0x8000 | ((high >> 12) & 0x3fff), low & 0xffffffffffff);
}

}  // namespace filbertwick::tool

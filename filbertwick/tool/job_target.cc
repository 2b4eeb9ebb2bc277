#include "filbertwick/tool/job_target.h"

#include <fmt/format.h>

#include <iterator>

namespace filbertwick::tool {
namespace {

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

}  // namespace

std::string JobTarget(std::string_view id) {
  std::string target = "/v1/jobs/";
  for (const char c : id) {
    if (IsUnreserved(c)) {
      target += c;
    } else {
      fmt::format_to(std::back_inserter(target), "%{:02X}",
                     static_cast<unsigned char>(c));
    }
  }
  return target;
}

}  // namespace filbertwick::tool

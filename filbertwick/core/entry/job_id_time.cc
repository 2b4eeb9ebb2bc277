#include "filbertwick/core/entry/job_id_time.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string>
#include <string_view>

namespace filbertwick::core {
namespace {

constexpr size_t kUuidLength = 36;
constexpr size_t kVersionAt = 14;
constexpr size_t kVariantAt = 19;
constexpr std::array<size_t, 4> kDashes = {8, 13, 18, 23};

bool IsHexDigit(char c) {
  return std::isxdigit(static_cast<unsigned char>(c)) != 0;
}

bool IsUuidV7(std::string_view text) {
  if (text.size() != kUuidLength) {
    return false;
  }
  for (size_t i = 0; i < text.size(); ++i) {
    const bool dash = std::ranges::find(kDashes, i) != kDashes.end();
    if (dash ? text[i] != '-' : !IsHexDigit(text[i])) {
      return false;
    }
  }
  const std::string_view variants = "89abAB";
  return text[kVersionAt] == '7' &&
         variants.find(text[kVariantAt]) != std::string_view::npos;
}

}  // namespace

std::optional<WallTime> JobIdCreationTime(const JobId& job) {
  const std::string& text = job.value();
  if (!IsUuidV7(text)) {
    return std::nullopt;
  }
  // The first 48 bits are milliseconds of Unix time.
  const std::string digits = text.substr(0, 8) + text.substr(9, 4);
  WallTime created_at;
  std::from_chars(digits.data(), digits.data() + digits.size(),
                  created_at.unix_millis, 16);
  return created_at;
}

}  // namespace filbertwick::core

#ifndef FILBERTWICK_BASE_VERSION_H_
#define FILBERTWICK_BASE_VERSION_H_

#include <string_view>

namespace filbertwick {

/// Version of the product, as printed by its programs.
inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace filbertwick

#endif  // FILBERTWICK_BASE_VERSION_H_

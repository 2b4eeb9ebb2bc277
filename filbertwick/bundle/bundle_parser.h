#ifndef FILBERTWICK_BUNDLE_BUNDLE_PARSER_H_
#define FILBERTWICK_BUNDLE_BUNDLE_PARSER_H_

#include <optional>
#include <string_view>

#include "filbertwick/base/finding.h"
#include "filbertwick/bundle/bundle.h"

namespace filbertwick::bundle {

/// Result of parsing a bundle.
struct ParsedBundle {
  /// The bundle; absent if an error was found.
  std::optional<Bundle> bundle;
  Findings findings;
};

/// Parses a bundle from JSON, in which comments are allowed, and validates
/// every field. Reports all findings of one pass, sorted by line, under the
/// file name `file`.
ParsedBundle ParseBundle(std::string_view file, std::string_view text);

}  // namespace filbertwick::bundle

#endif  // FILBERTWICK_BUNDLE_BUNDLE_PARSER_H_

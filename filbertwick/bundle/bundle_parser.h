#ifndef FILBERTWICK_BUNDLE_BUNDLE_PARSER_H_
#define FILBERTWICK_BUNDLE_BUNDLE_PARSER_H_

#include <optional>
#include <string_view>

#include "filbertwick/base/finding.h"
#include "filbertwick/bundle/bundle.h"

namespace filbertwick::bundle {

/// Outcome of reading a bundle: the bundle when no finding is an error.
struct ParsedBundle {
  std::optional<Bundle> bundle;
  Findings findings;
};

/// Reads a bundle from JSON with comments and checks every field. All findings
/// come together, in order of line; `file` is the name they carry.
ParsedBundle ParseBundle(std::string_view file, std::string_view text);

}  // namespace filbertwick::bundle

#endif  // FILBERTWICK_BUNDLE_BUNDLE_PARSER_H_

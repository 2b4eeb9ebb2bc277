#ifndef FILBERTWICK_TOOL_BUNDLE_FILE_H_
#define FILBERTWICK_TOOL_BUNDLE_FILE_H_

#include <string>

#include "filbertwick/bundle/bundle_parser.h"

namespace filbertwick::tool {

/// A bundle file with what was found in it.
struct BundleFile {
  std::string text;
  bundle::ParsedBundle parsed;
};

/// Reads and checks a bundle file; one that can't be read is a finding.
BundleFile LoadBundleFile(const std::string& path);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_BUNDLE_FILE_H_

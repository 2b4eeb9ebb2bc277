#ifndef FILBERTWICK_TOOL_BUNDLE_FILE_H_
#define FILBERTWICK_TOOL_BUNDLE_FILE_H_

#include <string>

#include "filbertwick/bundle/bundle_parser.h"

namespace filbertwick::tool {

/// Text of a bundle file, the parsed bundle and the findings of the check.
struct BundleFile {
  std::string text;
  bundle::ParsedBundle parsed;
};

/// Reads and checks a bundle file. A file that can't be read yields one finding
/// of severity error and no bundle.
BundleFile LoadBundleFile(const std::string& path);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_BUNDLE_FILE_H_

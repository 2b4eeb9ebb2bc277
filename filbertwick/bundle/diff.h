#ifndef FILBERTWICK_BUNDLE_DIFF_H_
#define FILBERTWICK_BUNDLE_DIFF_H_

#include <string>
#include <vector>

#include "filbertwick/bundle/bundle.h"

namespace filbertwick::bundle {

/// Returns the differences between two bundles, one per element, such as
/// `service quote: slots 8 -> 6`. Ignores `version` and `based_on` and the
/// order of lists.
std::vector<std::string> DiffBundles(const Bundle& from, const Bundle& to);

}  // namespace filbertwick::bundle

#endif  // FILBERTWICK_BUNDLE_DIFF_H_

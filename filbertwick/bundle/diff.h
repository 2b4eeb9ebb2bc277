#ifndef FILBERTWICK_BUNDLE_DIFF_H_
#define FILBERTWICK_BUNDLE_DIFF_H_

#include <string>
#include <vector>

#include "filbertwick/bundle/bundle.h"

namespace filbertwick::bundle {

/// What the step from one bundle to another changes, one sentence a line, such
/// as `service quote: slots 8 -> 6`. Empty when nothing but versions differs.
std::vector<std::string> DiffBundles(const Bundle& from, const Bundle& to);

}  // namespace filbertwick::bundle

#endif  // FILBERTWICK_BUNDLE_DIFF_H_

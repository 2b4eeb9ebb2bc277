#ifndef FILBERTWICK_BUNDLE_BUNDLE_READER_H_
#define FILBERTWICK_BUNDLE_BUNDLE_READER_H_

#include "filbertwick/bundle/bundle.h"
#include "filbertwick/json/document.h"

namespace filbertwick::bundle {

/// Reads and validates the fields of a parsed bundle file. Adds findings to
/// `document`, which must be parsed(). The returned bundle is valid only if
/// `document.ok()` is true afterwards.
Bundle ReadBundle(const json::Document& document);

}  // namespace filbertwick::bundle

#endif  // FILBERTWICK_BUNDLE_BUNDLE_READER_H_

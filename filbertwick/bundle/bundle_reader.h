#ifndef FILBERTWICK_BUNDLE_BUNDLE_READER_H_
#define FILBERTWICK_BUNDLE_BUNDLE_READER_H_

#include "filbertwick/bundle/bundle.h"
#include "filbertwick/json/document.h"

namespace filbertwick::bundle {

/// Reads the fields of a parsed bundle file. What is wrong is reported to the
/// document; the result counts only when the document has no errors.
Bundle ReadBundle(const json::Document& document);

}  // namespace filbertwick::bundle

#endif  // FILBERTWICK_BUNDLE_BUNDLE_READER_H_

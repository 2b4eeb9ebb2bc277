#include "filbertwick/bundle/bundle_parser.h"

#include <utility>

#include "filbertwick/bundle/bundle_reader.h"
#include "filbertwick/json/document.h"

namespace filbertwick::bundle {

ParsedBundle ParseBundle(std::string_view file, std::string_view text) {
  const auto document =
      json::Document::Parse(file, text, json::Comments::kAllowed);
  ParsedBundle parsed;
  if (document.parsed()) {
    Bundle bundle = ReadBundle(document);
    if (document.ok()) {
      parsed.bundle = std::move(bundle);
    }
  }
  parsed.findings = document.findings();
  return parsed;
}

}  // namespace filbertwick::bundle

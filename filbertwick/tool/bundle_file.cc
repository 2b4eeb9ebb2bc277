#include "filbertwick/tool/bundle_file.h"

#include <utility>

#include "filbertwick/base/file.h"

namespace filbertwick::tool {

BundleFile LoadBundleFile(const std::string& path) {
  auto text = ReadFile(path);
  if (!text.ok()) {
    return {"",
            {std::nullopt,
             {{Severity::kError, path, 0, "/",
               "the file " + std::string(text.status().message())}}}};
  }
  bundle::ParsedBundle parsed = bundle::ParseBundle(path, *text);
  return {*std::move(text), std::move(parsed)};
}

}  // namespace filbertwick::tool

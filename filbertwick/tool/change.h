#ifndef FILBERTWICK_TOOL_CHANGE_H_
#define FILBERTWICK_TOOL_CHANGE_H_

#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/tool/environment.h"
#include "filbertwick/tool/option.h"
#include "filbertwick/wire/control_record.h"

namespace filbertwick::tool {

/// Who makes a change and under which id; options of changing subcommands.
struct ChangeOptions {
  std::string author;
  std::string change;

  /// Adds `--author` and `--change`.
  void AddOptions(std::vector<Option>& options);
  /// Fills what was not given: the author from USER, a new random change id.
  void FillDefaults(const Environment& environment);
};

/// Body of a change that publishes a bundle.
std::string FormatChange(const ChangeOptions& options,
                         const wire::PublishBundle& publish);
/// Body of a change that takes a zone out or in.
std::string FormatChange(const ChangeOptions& options,
                         const wire::SetZone& zone);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_CHANGE_H_

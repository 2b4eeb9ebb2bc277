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

/// Author and id of a change to the control state; the options that `publish`
/// and `zone` share. Sending a change again under the same id soon after is
/// safe: instances remember recent ids and apply each only once.
struct ChangeOptions {
  std::string author;
  std::string change;

  /// Adds `--author` and `--change`.
  void AddOptions(std::vector<Option>& options);
  /// Sets what the command line left empty: the author from the variable USER,
  /// else `operator`, and a random change id that starts with the author.
  void FillDefaults(const Environment& environment);
};

/// Returns the JSON body of a change that publishes a bundle.
std::string FormatChange(const ChangeOptions& options,
                         const wire::PublishBundle& publish);
/// Returns the JSON body of a change that takes a zone out or brings it back.
std::string FormatChange(const ChangeOptions& options,
                         const wire::SetZone& zone);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_CHANGE_H_

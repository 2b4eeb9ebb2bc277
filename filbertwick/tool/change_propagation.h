#ifndef FILBERTWICK_TOOL_CHANGE_PROPAGATION_H_
#define FILBERTWICK_TOOL_CHANGE_PROPAGATION_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/core/core.h"
#include "filbertwick/tool/entry_client.h"
#include "filbertwick/tool/environment.h"
#include "filbertwick/wire/epoch.h"

namespace filbertwick::tool {

/// How far a change has come over the instances.
struct ChangePropagation {
  /// Instances in contact, the answering one included.
  size_t in_contact = 0;
  /// Those in contact that do not know the change yet.
  std::vector<std::string> lagging;
  /// Instances of record that were not heard of lately.
  std::vector<std::string> out_of_contact;
};

/// Counts who knows the control stream up to `offset`.
ChangePropagation MeasurePropagation(const core::CoreStatus& status,
                                     wire::LogOffset offset);

/// One line such as `known to 9 of 11 instances, waiting for s3, s4`.
std::string FormatPropagation(const ChangePropagation& propagation);

/// How a wait ended.
enum class WaitOutcome { kDone, kTimeout };

/// Looks at the newest status; what is still missing, or nothing when done.
using PendingCheck =
    std::function<std::optional<std::string>(const core::CoreStatus&)>;

/// Polls the status until `progress` is done or the client's deadline passes.
/// Prints what is missing to standard error as `prefix: text` whenever it
/// changes. An entry that can't be reached is tried again.
WaitOutcome PollStatusUntilDone(EntryClient& client,
                                const Environment& environment,
                                std::string_view prefix,
                                const PendingCheck& find_pending);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_CHANGE_PROPAGATION_H_

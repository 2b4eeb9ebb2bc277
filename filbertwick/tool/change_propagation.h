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

/// Which instances have applied a change, as one entry knows.
struct ChangePropagation {
  /// Number of instances in contact, including the entry that was asked.
  size_t in_contact = 0;
  /// Instances in contact that have not applied the change yet.
  std::vector<std::string> lagging;
  /// Known instances that the entry has never heard from, or not for more than
  /// 3 s.
  std::vector<std::string> out_of_contact;
};

/// Determines which instances have applied the control log up to `offset`.
ChangePropagation MeasurePropagation(const core::CoreStatus& status,
                                     wire::LogOffset offset);

/// Returns one line, such as
/// `known to 9 of 11 instances, waiting for s3, s4`.
std::string FormatPropagation(const ChangePropagation& propagation);

/// Result of PollStatusUntilDone().
enum class WaitOutcome { kDone, kTimeout };

/// Returns a description of what is still pending according to the newest
/// status, or nothing when the wait is over.
using PendingCheck =
    std::function<std::optional<std::string>(const core::CoreStatus&)>;

/// Polls the status every 100 ms until `find_pending` returns nothing or the
/// client's deadline passes. Prints the description to standard error as
/// `prefix: text` whenever it changes. A failed poll is repeated.
WaitOutcome PollStatusUntilDone(EntryClient& client,
                                const Environment& environment,
                                std::string_view prefix,
                                const PendingCheck& find_pending);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_CHANGE_PROPAGATION_H_

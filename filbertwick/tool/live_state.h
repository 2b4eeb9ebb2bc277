#ifndef FILBERTWICK_TOOL_LIVE_STATE_H_
#define FILBERTWICK_TOOL_LIVE_STATE_H_

#include "filbertwick/bundle/change_check.h"
#include "filbertwick/core/core.h"

namespace filbertwick::tool {

/// Extracts from an entry's status what the check of a change needs: the zones
/// that are out, and every upstream with its service, zone and running tasks.
bundle::LiveState MakeLiveState(const core::CoreStatus& status);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_LIVE_STATE_H_

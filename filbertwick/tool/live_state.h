#ifndef FILBERTWICK_TOOL_LIVE_STATE_H_
#define FILBERTWICK_TOOL_LIVE_STATE_H_

#include "filbertwick/bundle/change_check.h"
#include "filbertwick/core/core.h"

namespace filbertwick::tool {

/// What the check of a change needs of an entry's status.
bundle::LiveState MakeLiveState(const core::CoreStatus& status);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_LIVE_STATE_H_

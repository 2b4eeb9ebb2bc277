#ifndef FILBERTWICK_TOOL_STATUS_TABLE_H_
#define FILBERTWICK_TOOL_STATUS_TABLE_H_

#include <string>

#include "filbertwick/core/core.h"

namespace filbertwick::tool {

/// What an entry shows of itself, its zones, services and instances, as
/// aligned lines.
std::string FormatStatusTable(const core::CoreStatus& status);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_STATUS_TABLE_H_

#ifndef FILBERTWICK_TOOL_STATUS_TABLE_H_
#define FILBERTWICK_TOOL_STATUS_TABLE_H_

#include <string>

#include "filbertwick/core/core.h"

namespace filbertwick::tool {

/// Formats the status of an entry as text: a summary of the entry, followed by
/// tables of the zones, services and instances.
std::string FormatStatusTable(const core::CoreStatus& status);

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_STATUS_TABLE_H_

#ifndef FILBERTWICK_CORE_DIRECT_NAMES_H_
#define FILBERTWICK_CORE_DIRECT_NAMES_H_

#include <string_view>

#include "filbertwick/core/direct/entry_effect.h"
#include "filbertwick/core/direct/message.h"
#include "filbertwick/core/direct/sidecar_effect.h"

namespace filbertwick::core::direct {

// Names of enum values in logs and metrics, in lower case with underscores.

std::string_view ToString(JobOutcome outcome);
std::string_view ToString(EndKind kind);
std::string_view ToString(Refusal refusal);
std::string_view ToString(CommandResult result);

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_NAMES_H_

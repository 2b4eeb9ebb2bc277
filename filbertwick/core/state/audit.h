#ifndef FILBERTWICK_CORE_STATE_AUDIT_H_
#define FILBERTWICK_CORE_STATE_AUDIT_H_

#include <string>

#include "filbertwick/core/effect.h"
#include "filbertwick/core/state/control_state.h"
#include "filbertwick/wire/control_record.h"

namespace filbertwick::core {

/// What a record changes, in a few words, such as `zone north out`.
std::string DescribeChange(const wire::ControlBody& body);

/// The audit line of a folded record; the same at every instance.
AuditEffect MakeAudit(wire::LogOffset offset,
                      const wire::ControlRecord& record,
                      const ApplyResult& result);

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_AUDIT_H_

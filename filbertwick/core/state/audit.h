#ifndef FILBERTWICK_CORE_STATE_AUDIT_H_
#define FILBERTWICK_CORE_STATE_AUDIT_H_

#include <string>

#include "filbertwick/core/effect.h"
#include "filbertwick/core/state/control_state.h"
#include "filbertwick/wire/control_record.h"

namespace filbertwick::core {

/// Returns a short description of a change, such as `zone north out`.
std::string DescribeChange(const wire::ControlBody& body);

/// Returns the audit entry of an applied record. It depends only on the record
/// and its result, and is therefore identical at every instance.
AuditEffect MakeAudit(wire::LogOffset offset,
                      const wire::ControlRecord& record,
                      const ApplyResult& result);

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_AUDIT_H_

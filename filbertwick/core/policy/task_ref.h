#ifndef FILBERTWICK_CORE_POLICY_TASK_REF_H_
#define FILBERTWICK_CORE_POLICY_TASK_REF_H_

#include <compare>
#include <cstdint>

namespace filbertwick::core::policy {

/// Number of a job within one dispatcher, assigned by the entry that calls
/// Dispatcher::AddJob().
using JobHandle = uint64_t;

/// Identifies a task within one dispatcher.
struct TaskRef {
  JobHandle job = 0;
  uint32_t index = 0;

  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_TASK_REF_H_

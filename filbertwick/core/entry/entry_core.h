#ifndef FILBERTWICK_CORE_ENTRY_ENTRY_CORE_H_
#define FILBERTWICK_CORE_ENTRY_ENTRY_CORE_H_

#include <absl/status/statusor.h>

#include <memory>

#include "filbertwick/core/core.h"
#include "filbertwick/core/policy/policy_settings.h"
#include "filbertwick/core/settings.h"
#include "filbertwick/core/state/control_state.h"

namespace filbertwick::core {

/// The decisions of an entry: takes jobs of callers, passes each to the owner
/// of its shard, and as owner dispatches tasks to sidecars and answers.
class EntryCore : public Core {
 public:
  /// An entry that knows nothing yet; InvalidArgument when `settings` name no
  /// entry.
  static absl::StatusOr<std::unique_ptr<EntryCore>> Create(
      const NodeSettings& settings,
      const policy::PolicySettings& policy);
  ~EntryCore() override;

  void Handle(const Now& now, Event event, Effects& effects) override;
  Instant NextWakeup() const override;
  uint64_t StateHash() const override;
  const wire::InstanceInfo* FindPeer(const InstanceName& name) const override;
  CoreStatus Status(const Now& now) const override;

  /// The fold of the control stream as this entry knows it.
  const ControlState& control() const;

 private:
  class Impl;
  explicit EntryCore(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_ENTRY_CORE_H_

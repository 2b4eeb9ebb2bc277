#ifndef FILBERTWICK_CORE_ENTRY_ENTRY_CORE_H_
#define FILBERTWICK_CORE_ENTRY_ENTRY_CORE_H_

#include <absl/status/statusor.h>

#include <memory>

#include "filbertwick/core/core.h"
#include "filbertwick/core/policy/policy_settings.h"
#include "filbertwick/core/settings.h"
#include "filbertwick/core/state/control_state.h"

namespace filbertwick::core {

/// State machine of an entry instance.
///
/// The job id selects one of the shards of a region, and each shard has one
/// owner, an entry, under an epoch. Any entry accepts a caller's job and
/// forwards it to the owner of its shard. The owner offers the tasks to
/// sidecars, collects their results and answers once. An owner starts tasks
/// only while it has quorum evidence: a quorum of the members has reported,
/// within the evidence age, that it knows no newer state (see Member). When
/// ownership moves, the previous owner hands over its jobs. If the previous
/// owner was lost, the new owner runs a census of a job that may have been
/// started before: it asks the sidecars which tasks they know (see Census)
/// before it starts any task of the job.
class EntryCore : public Core {
 public:
  /// Creates an entry without any control state. Returns InvalidArgument when
  /// `settings` do not have the role and name of an entry.
  static absl::StatusOr<std::unique_ptr<EntryCore>> Create(
      const NodeSettings& settings,
      const policy::PolicySettings& policy);
  ~EntryCore() override;

  void Handle(const Now& now, Event event, Effects& effects) override;
  Instant NextWakeup() const override;
  uint64_t StateHash() const override;
  const wire::InstanceInfo* FindPeer(const InstanceName& name) const override;
  CoreStatus Status(const Now& now) const override;

  /// The control state from the control records that this entry has applied.
  const ControlState& control() const;

 private:
  class Impl;
  explicit EntryCore(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_ENTRY_CORE_H_

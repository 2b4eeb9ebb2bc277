#ifndef FILBERTWICK_CORE_SIDECAR_SIDECAR_CORE_H_
#define FILBERTWICK_CORE_SIDECAR_SIDECAR_CORE_H_

#include <absl/status/statusor.h>

#include <memory>

#include "filbertwick/core/core.h"
#include "filbertwick/core/settings.h"
#include "filbertwick/core/state/control_state.h"

namespace filbertwick::core {

/// Deterministic core of a sidecar, and the only place where a task changes to
/// started. As a member of its region it reports state summaries and counts
/// towards quorums.
class SidecarCore : public Core {
 public:
  /// Creates a sidecar with an empty control state. Returns InvalidArgument
  /// when `settings` don't describe a sidecar or have no instance name.
  static absl::StatusOr<std::unique_ptr<SidecarCore>> Create(
      const NodeSettings& settings);
  ~SidecarCore() override;

  void Handle(const Now& now, Event event, Effects& effects) override;
  Instant NextWakeup() const override;
  uint64_t StateHash() const override;
  const wire::InstanceInfo* FindPeer(const InstanceName& name) const override;
  CoreStatus Status(const Now& now) const override;

  /// The control state as known to this sidecar; empty before the first event.
  const ControlState& control() const;

 private:
  class Impl;
  explicit SidecarCore(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_SIDECAR_SIDECAR_CORE_H_

#ifndef FILBERTWICK_CORE_SIDECAR_SIDECAR_CORE_H_
#define FILBERTWICK_CORE_SIDECAR_SIDECAR_CORE_H_

#include <absl/status/statusor.h>

#include <memory>

#include "filbertwick/core/core.h"
#include "filbertwick/core/settings.h"
#include "filbertwick/core/state/control_state.h"

namespace filbertwick::core {

/// The decisions of a sidecar: the only place where a task moves to started.
/// Vouches for what it knows of the control stream and of epochs.
class SidecarCore : public Core {
 public:
  /// A sidecar that knows nothing yet; InvalidArgument when `settings` name no
  /// sidecar.
  static absl::StatusOr<std::unique_ptr<SidecarCore>> Create(
      const NodeSettings& settings);
  ~SidecarCore() override;

  void Handle(const Now& now, Event event, Effects& effects) override;
  Instant NextWakeup() const override;
  uint64_t StateHash() const override;
  const wire::InstanceInfo* FindPeer(const InstanceName& name) const override;
  CoreStatus Status(const Now& now) const override;

  /// The fold of the control stream as this sidecar knows it.
  const ControlState& control() const;

 private:
  class Impl;
  explicit SidecarCore(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_SIDECAR_SIDECAR_CORE_H_

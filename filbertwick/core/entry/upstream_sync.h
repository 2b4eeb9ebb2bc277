#ifndef FILBERTWICK_CORE_ENTRY_UPSTREAM_SYNC_H_
#define FILBERTWICK_CORE_ENTRY_UPSTREAM_SYNC_H_

#include <set>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/core/policy/dispatcher.h"
#include "filbertwick/core/state/member.h"

namespace filbertwick::core {

/// Updates the dispatcher with the bundle, zones and upstreams of the control
/// state and with the load of the sidecars.
class UpstreamSync {
 public:
  /// Copies from `member` to `dispatcher`; both must outlive this object.
  UpstreamSync(const Member& member, policy::Dispatcher& dispatcher);

  /// Copies changes of the control state.
  void OnControlChanged(Instant now);
  /// Updates the load of a sidecar.
  void OnLoad(Instant now, const InstanceName& name, const wire::Load& load);
  /// Sets the load and free slots of a sidecar to zero, because its incarnation
  /// was replaced.
  void OnSidecarReplaced(Instant now, const InstanceName& name);
  /// Stops placement on sidecars that have not been heard within the evidence
  /// age.
  void Tick(Instant now);

 private:
  void SyncZones(Instant now);
  void SyncUpstreams(Instant now);
  /// Tells the dispatcher how many entries share the upstreams of the region
  /// and the index of this one.
  void SyncSharing();

  const Member& member_;
  policy::Dispatcher& dispatcher_;
  /// The state that was last passed to the dispatcher, so that only changes are
  /// passed on: the version of the bundle, the zones that are out, the sidecars
  /// of the region and the entries that share them.
  uint64_t bundle_version_ = 0;
  std::set<ZoneName> zones_out_;
  std::set<InstanceName> synced_upstreams_;
  std::vector<InstanceName> sharing_entries_;
  /// Sidecars whose load is set to zero until they are heard again.
  std::set<InstanceName> silent_sidecars_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_UPSTREAM_SYNC_H_

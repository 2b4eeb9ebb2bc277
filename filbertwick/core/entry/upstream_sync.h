#ifndef FILBERTWICK_CORE_ENTRY_UPSTREAM_SYNC_H_
#define FILBERTWICK_CORE_ENTRY_UPSTREAM_SYNC_H_

#include <set>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/core/policy/dispatcher.h"
#include "filbertwick/core/state/member.h"

namespace filbertwick::core {

/// Keeps the dispatcher's view of bundle, zones and upstreams in step with
/// what the entry knows.
class UpstreamSync {
 public:
  /// Syncs from `member` to `dispatcher`; both must outlive it.
  UpstreamSync(const Member& member, policy::Dispatcher& dispatcher);

  /// The fold changed.
  void OnControlChanged(Instant now);
  /// A sidecar told its load.
  void OnLoad(Instant now, const InstanceName& name, const wire::Load& load);
  /// The incarnation of a sidecar is gone.
  void OnSidecarReplaced(Instant now, const InstanceName& name);
  /// Stops placement at sidecars that have fallen silent.
  void Tick(Instant now);

 private:
  void SyncZones(Instant now);
  void SyncUpstreams(Instant now);
  void SyncSharing();

  const Member& member_;
  policy::Dispatcher& dispatcher_;
  uint64_t bundle_version_ = 0;
  std::set<ZoneName> zones_out_;
  std::set<InstanceName> synced_upstreams_;
  std::vector<InstanceName> sharing_entries_;
  /// Sidecars whose load counts as zero until they are heard again.
  std::set<InstanceName> silent_sidecars_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_UPSTREAM_SYNC_H_

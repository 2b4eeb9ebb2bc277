#ifndef FILBERTWICK_HARNESS_OTHER_WRITERS_H_
#define FILBERTWICK_HARNESS_OTHER_WRITERS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/sidecar_effect.h"
#include "filbertwick/harness/direct_cluster.h"
#include "filbertwick/harness/event_loop.h"
#include "filbertwick/harness/random.h"

namespace filbertwick::harness {

/// Sends to the sidecars of a cluster what does not come from the present
/// upstream: announcements of other processes, with ids of their own or with
/// that of the upstream; announcements of earlier incarnations that arrive late
/// or twice; late departures of earlier incarnations. Meanwhile the upstreams
/// announce themselves at their usual interval.
class OtherWriters {
 public:
  /// Starts at once and sends until `end`, in virtual time. The loop and the
  /// cluster must outlive the object.
  OtherWriters(EventLoop& loop,
               DirectCluster& cluster,
               uint32_t sidecars,
               uint64_t seed,
               Duration end);

 private:
  void AnnounceUpstream(uint32_t n);
  void SendSomething();
  void SendCopy(uint32_t n);

  EventLoop& loop_;
  DirectCluster& cluster_;
  const uint32_t sidecars_;
  const Duration end_;
  Random random_;
  /// Announcements of the upstreams beside each sidecar, for late copies.
  std::vector<std::vector<core::direct::UpstreamAnnouncement>> sent_;
  uint64_t last_id_ = 0;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_OTHER_WRITERS_H_

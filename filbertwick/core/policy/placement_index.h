#ifndef FILBERTWICK_CORE_POLICY_PLACEMENT_INDEX_H_
#define FILBERTWICK_CORE_POLICY_PLACEMENT_INDEX_H_

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

#include "filbertwick/base/hash.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/policy/policy_settings.h"

namespace filbertwick::core::policy {

/// Index of an upstream, assigned consecutively from 0 by the owner of the
/// placement index.
using UpstreamId = uint32_t;

/// Capacity and load of an upstream, from which the expected wait of a task
/// there is computed.
struct UpstreamState {
  /// One-way network latency.
  Duration distance{0};
  /// Whether the upstream is in the zone of the placing entry.
  bool own_zone = false;
  /// Maximum number of tasks that run at the same time.
  uint32_t slots = 0;
  /// Tasks of all entries at the upstream or on their way to it.
  uint32_t task_count = 0;
  /// No task is placed while task_count is at least this number: the slots plus
  /// the usable positions in the sidecar's queue, or 0 to stop placement.
  uint32_t task_limit = 0;
  /// Expected run time of a task at this upstream.
  Duration run_time{0};
  /// Expected run time of a task of the service, averaged over its upstreams.
  Duration baseline_run_time{0};
};

/// Upstreams of one service, ordered by the expected wait of the next task
/// there. Each operation takes time logarithmic in the number of upstreams.
/// Deterministic for a given seed. The seed breaks ties, so that entries with
/// different seeds do not all select the same upstream.
class PlacementIndex {
 public:
  PlacementIndex(const PlacementSettings& settings, uint64_t seed);

  /// Adds an upstream or changes its state.
  void Set(UpstreamId upstream, const UpstreamState& state);
  /// Removes an upstream; no effect when it is unknown.
  void Remove(UpstreamId upstream);

  /// The upstream with the least expected wait among those below their
  /// task_limit; none when all are full.
  std::optional<UpstreamId> BestUpstream() const;
  /// Expected wait of the next task at BestUpstream(), including network
  /// latency; none when all upstreams are full.
  std::optional<Duration> BestUpstreamWait() const;

  /// Whether the upstream has a free slot. The upstream must be known.
  bool HasFreeSlot(UpstreamId upstream) const;

  /// Sum of the slots of all upstreams.
  uint64_t slots() const { return slots_; }
  /// Sum of the free slots of all upstreams.
  uint64_t free_slots() const { return free_slots_; }
  /// Number of upstreams.
  uint32_t size() const { return size_; }

  /// Adds the index's state to a digest.
  void Hash(Hasher& hasher) const;

 private:
  struct Key {
    /// Expected wait in multiples of PlacementSettings::wait_resolution,
    /// rounded.
    int64_t wait = 0;
    bool other_zone = false;
    uint64_t tie = 0;
    UpstreamId upstream = 0;

    friend auto operator<=>(const Key&, const Key&) = default;
  };
  struct Entry {
    bool present = false;
    UpstreamState state;
    Key key;
  };

  /// Expected wait of the next task in microseconds, including network latency
  /// and the additional run time on a slow upstream.
  double WaitMicros(const UpstreamState& state) const;

  PlacementSettings settings_;
  uint64_t seed_;
  uint64_t changes_ = 0;
  std::vector<Entry> entries_;
  /// Upstreams below their task_limit, least expected wait first.
  std::set<Key> order_;
  uint64_t slots_ = 0;
  uint64_t free_slots_ = 0;
  uint32_t size_ = 0;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_PLACEMENT_INDEX_H_

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

/// Dense number of an upstream, given by the index's user.
using UpstreamId = uint32_t;

/// What a placement costs at one upstream.
struct UpstreamState {
  /// One-way network time.
  Duration distance{0};
  /// In the zone of the one who places.
  bool own_zone = false;
  /// Tasks that run at a time.
  uint32_t slots = 0;
  /// Tasks there or on the way, of anyone.
  uint32_t task_count = 0;
  /// Most tasks that may be there: slots and waiting places.
  uint32_t task_limit = 0;
  /// Expected run time of a task there.
  Duration run_time{0};
  /// Expected run time of a task at the service's other upstreams.
  Duration baseline_run_time{0};
};

/// Upstreams of one service by the expected wait of the next task there. Each
/// operation is logarithmic in upstreams. Deterministic for one seed; other
/// seeds break ties otherwise, so that several users do not all pick one.
class PlacementIndex {
 public:
  PlacementIndex(const PlacementSettings& settings, uint64_t seed);

  /// Adds an upstream or changes its state.
  void Set(UpstreamId upstream, const UpstreamState& state);
  /// Takes an upstream out; ignored when unknown.
  void Remove(UpstreamId upstream);

  /// The upstream with the least expected wait that has a place left.
  std::optional<UpstreamId> BestUpstream() const;
  /// Expected wait of the next task at BestUpstream(), network included; none
  /// without a place.
  std::optional<Duration> BestUpstreamWait() const;

  /// Whether the upstream has a slot free; it must be known.
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
    /// Expected wait in steps that count as equal.
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

  double WaitMicros(const UpstreamState& state) const;

  PlacementSettings settings_;
  uint64_t seed_;
  uint64_t changes_ = 0;
  std::vector<Entry> entries_;
  /// Upstreams with a place left.
  std::set<Key> order_;
  uint64_t slots_ = 0;
  uint64_t free_slots_ = 0;
  uint32_t size_ = 0;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_PLACEMENT_INDEX_H_

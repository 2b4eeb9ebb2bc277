#ifndef FILBERTWICK_CORE_STATE_OWNERSHIP_H_
#define FILBERTWICK_CORE_STATE_OWNERSHIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "filbertwick/core/event.h"
#include "filbertwick/core/state/member.h"

namespace filbertwick::core {

/// One term of ownership that this incarnation took itself.
struct ShardTerm {
  wire::Epoch epoch;
  /// When more than half of the members knew the epoch; unset before.
  std::optional<Instant> quorum_at = std::nullopt;
  /// The owner before gave the shard itself, so nothing has to lapse.
  bool handed_over = false;
  bool serving = false;
  /// What is not known here was never started: nobody served the shard before,
  /// or who did gave all it knew.
  bool history_complete = false;
  Instant serving_since = Instant::min();
  WallTime serving_since_wall = {};
};

/// What Ownership tells the entry around it.
struct OwnershipHooks {
  /// Work of these shards may start, while the evidence holds.
  std::function<void(std::span<const wire::ShardId> shards)> gained;
  /// Another owner has the shard: nothing of it may start here.
  std::function<void(wire::ShardId shard)> lost;
  /// The shards were taken under these epochs and want a record.
  std::function<void(std::span<const wire::ShardEpoch> shards)> taken;
};

/// Decides which shards of the region this entry serves: takes over those of a
/// lost owner behind a fence, takes and gives them in planned handovers, and
/// drops them when a higher epoch is known.
class Ownership {
 public:
  /// Ownership for the entry of `member`, which must outlive it.
  Ownership(Member& member, OwnershipHooks hooks);

  /// Looks at every shard: drops, fences, serves, takes over.
  void Update(const Now& now);

  /// True while work of the shard may start here, given fresh evidence.
  bool Serves(wire::ShardId shard) const;
  /// True when this incarnation took the shard, serving already or not yet.
  bool Holds(wire::ShardId shard) const;
  /// The term under which the shard is held; null when it is not.
  const ShardTerm* FindTerm(wire::ShardId shard) const;

  /// Stops serving shards in favour of `to`, under epochs of its own. The
  /// caller sends what it returns to the successor.
  std::vector<wire::ShardEpoch> Release(std::span<const wire::ShardId> shards,
                                        const InstanceName& to);
  /// Takes shards that their owner gave up; those known under a higher epoch
  /// are left out. Returns the ones taken.
  std::vector<wire::ShardEpoch> Accept(std::span<const wire::ShardEpoch> shards,
                                       bool history_complete);

  /// Stops taking shards over, for a stopping entry.
  void DisableTakeover() { takeover_enabled_ = false; }

  /// Shards held here.
  std::vector<wire::ShardId> HeldShards() const;
  /// True while a shard taken here is not known to enough members.
  bool AwaitsQuorum() const;
  /// Shards served here.
  uint32_t serving() const;
  /// Digest of the state.
  uint64_t Hash() const;

 private:
  /// When an epoch was first seen here.
  struct EpochSighting {
    wire::Epoch epoch;
    Instant at = Instant::min();
  };

  void DropLostTerms();
  void AdoptResetEpochs();
  void AdvanceFences(const Now& now);
  void TakeOver(const Now& now);
  bool IsTakeoverDue(Instant now,
                     wire::ShardId shard,
                     const wire::Epoch& epoch);
  Duration FenceWait() const;

  Member& member_;
  OwnershipHooks hooks_;
  std::map<wire::ShardId, ShardTerm> terms_;
  /// When each shard's present epoch was first seen.
  std::map<wire::ShardId, EpochSighting> sightings_;
  bool takeover_enabled_ = true;
  /// When owners that are gone are looked for next.
  Instant next_takeover_check_ = Instant::min();
  /// Offset of the reset whose epochs were adopted last.
  wire::LogOffset adopted_reset_ = 0;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_OWNERSHIP_H_

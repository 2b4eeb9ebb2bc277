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

/// A term of shard ownership that this incarnation has obtained by takeover,
/// handover or region reset.
struct ShardTerm {
  wire::Epoch epoch;
  /// When a quorum was first found to know the epoch; the fence wait counts
  /// from then.
  std::optional<Instant> quorum_at = std::nullopt;
  /// The former owner handed the shard over and starts no more tasks, so that
  /// no fence wait is needed.
  bool handed_over = false;
  /// The fence wait is over; tasks may start.
  bool serving = false;
  /// A job that isn't known here was never started: the shard had no owner
  /// before, or the former owner handed over its complete history.
  bool history_complete = false;
  Instant serving_since = Instant::min();
  WallTime serving_since_wall = {};
};

/// Callbacks of Ownership into the entry that contains it.
struct OwnershipHooks {
  /// Tasks of these shards may start from now on, given quorum evidence.
  std::function<void(std::span<const wire::ShardId> shards)> gained;
  /// A higher epoch of the shard is known: no task of it may start here.
  std::function<void(wire::ShardId shard)> lost;
  /// The shards were taken over under these epochs; the entry must append a
  /// TakeShards record.
  std::function<void(std::span<const wire::ShardEpoch> shards)> taken;
};

/// Decides which shards of the region this entry owns and serves. Takes over
/// the shards of an owner that is gone, releases and accepts shards in planned
/// handovers, and gives a shard up when a higher epoch of it is known. After a
/// takeover or a region reset, a shard is served only after the fence wait:
/// twice the evidence age, counted from when a quorum knows the new epoch. By
/// then the quorum evidence of the former owner and the clock tokens of its
/// offers have expired. See Member for the protocol.
class Ownership {
 public:
  /// Creates the ownership of the entry of `member`, which must outlive it.
  Ownership(Member& member, OwnershipHooks hooks);

  /// Gives up lost shards, adopts those assigned by a region reset, takes over
  /// the shards of owners that are gone, and serves those whose fence wait is
  /// over.
  void Update(const Now& now);

  /// True while tasks of the shard may start here, given quorum evidence.
  bool Serves(wire::ShardId shard) const;
  /// True when this incarnation owns the shard, whether it serves it yet or
  /// not.
  bool Holds(wire::ShardId shard) const;
  /// Returns the term under which the shard is owned; null when it isn't.
  const ShardTerm* FindTerm(wire::ShardId shard) const;

  /// Gives up the served ones of `shards` in favour of `to`, under new epochs
  /// with `to` as owner. Returns these epochs; the caller sends them to the
  /// successor.
  std::vector<wire::ShardEpoch> Release(std::span<const wire::ShardId> shards,
                                        const InstanceName& to);
  /// Accepts shards that their owner released. Leaves out shards that are
  /// released to another instance, owned here already, or known under a higher
  /// epoch. Returns the accepted ones.
  std::vector<wire::ShardEpoch> Accept(std::span<const wire::ShardEpoch> shards,
                                       bool history_complete);

  /// Stops further takeovers; called when the entry is about to stop.
  void DisableTakeover() { takeover_enabled_ = false; }

  /// Returns the shards owned here, served or not.
  std::vector<wire::ShardId> HeldShards() const;
  /// True while any owned shard waits for a quorum to know its epoch.
  bool AwaitsQuorum() const;
  /// Number of shards served here.
  uint32_t serving() const;
  /// Digest of the state.
  uint64_t Hash() const;

 private:
  /// An epoch with the time at which this entry first saw it.
  struct EpochSighting {
    wire::Epoch epoch;
    Instant at = Instant::min();
  };

  void DropLostTerms();
  void AdoptResetEpochs();
  void AdvanceFences(const Now& now);
  void TakeOver(const Now& now);
  /// True when the owner of `epoch` is gone or silent for long enough that this
  /// entry takes the shard over, given its place among the successors. Also
  /// records when `epoch` was first seen.
  bool IsTakeoverDue(Instant now,
                     wire::ShardId shard,
                     const wire::Epoch& epoch);
  /// Returns twice the evidence age, extended by the largest difference between
  /// the rates of two clocks. Returns 0 without the rule fence_wait.
  Duration FenceWait() const;

  Member& member_;
  OwnershipHooks hooks_;
  std::map<wire::ShardId, ShardTerm> terms_;
  /// The present epoch of each shard.
  std::map<wire::ShardId, EpochSighting> sightings_;
  bool takeover_enabled_ = true;
  /// When takeovers are checked next.
  Instant next_takeover_check_ = Instant::min();
  /// RegionState::formed_offset of the last reset that AdoptResetEpochs() has
  /// handled.
  wire::LogOffset adopted_reset_ = 0;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_OWNERSHIP_H_

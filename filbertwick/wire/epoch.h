#ifndef FILBERTWICK_WIRE_EPOCH_H_
#define FILBERTWICK_WIRE_EPOCH_H_

#include <compare>
#include <cstdint>

#include "filbertwick/base/name.h"

namespace filbertwick::wire {

/// Offset of a record in the control stream, counted in records from 0.
using LogOffset = uint64_t;

/// Index of a shard within its region, below kShardsPerRegion.
using ShardId = uint16_t;

/// Number of shards into which the job ids of a region are hashed.
inline constexpr ShardId kShardsPerRegion = 64;

/// Identifies one term of ownership of a shard. Later terms compare greater and
/// fence off earlier ones. Concurrent takeovers that chose the same `number`
/// are ordered by owner name, so that exactly one of them wins. A takeover
/// increments `number`, while a planned handover increments only `handovers`: a
/// takeover therefore supersedes every handover that was decided without
/// knowledge of it.
struct Epoch {
  /// Generation of the region; 0 stands for no epoch.
  uint32_t generation = 0;
  /// 1 after a region reset, incremented by each takeover.
  uint32_t number = 0;
  /// Planned handovers since the last takeover or reset.
  uint32_t handovers = 0;
  InstanceName owner;

  friend auto operator<=>(const Epoch&, const Epoch&) = default;

  /// Reads or writes the epoch through a cereal archive.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(generation, number, handovers, owner);
  }
};

/// A shard and one of its epochs.
struct ShardEpoch {
  ShardId shard = 0;
  Epoch epoch;

  friend auto operator<=>(const ShardEpoch&, const ShardEpoch&) = default;

  /// Reads or writes the pair through a cereal archive.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(shard, epoch);
  }
};

}  // namespace filbertwick::wire

#endif  // FILBERTWICK_WIRE_EPOCH_H_

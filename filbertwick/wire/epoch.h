#ifndef FILBERTWICK_WIRE_EPOCH_H_
#define FILBERTWICK_WIRE_EPOCH_H_

#include <compare>
#include <cstdint>

#include "filbertwick/base/name.h"

namespace filbertwick::wire {

/// Offset of a record in the control stream; the first record has 0.
using LogOffset = uint64_t;

/// Number of a shard inside one region, below kShardsPerRegion.
using ShardId = uint16_t;

/// Shards into which the job keys of one region are hashed.
inline constexpr ShardId kShardsPerRegion = 64;

/// One term of ownership of a shard. Later terms compare greater; two terms
/// with one number are ordered by owner, so that exactly one wins. A takeover
/// raises `number`, a planned handover only `handovers`: so a takeover beats
/// every handover that does not know of it.
struct Epoch {
  uint32_t generation = 0;
  uint32_t number = 0;
  uint32_t handovers = 0;
  InstanceName owner;

  friend auto operator<=>(const Epoch&, const Epoch&) = default;

  /// Reads or writes the epoch through a cereal archive.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(generation, number, handovers, owner);
  }
};

/// A shard with an epoch of it.
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

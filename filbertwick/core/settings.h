#ifndef FILBERTWICK_CORE_SETTINGS_H_
#define FILBERTWICK_CORE_SETTINGS_H_

#include <cstdint>

#include "filbertwick/base/time.h"
#include "filbertwick/wire/control_record.h"

namespace filbertwick::core {

/// Times of the ownership protocol; the same at every instance.
struct TimingSettings {
  /// F: how long a statement or token counts.
  Duration evidence_age = std::chrono::milliseconds(500);
  /// Time between two probes of one instance.
  Duration probe_interval = std::chrono::milliseconds(125);
  /// Silence after which an owner's successor takes over.
  Duration takeover_silence = std::chrono::milliseconds(800);
  /// Added silence for each further successor in order.
  Duration takeover_stagger = std::chrono::milliseconds(400);
  /// Largest difference in rate of two clocks, in parts per million.
  uint32_t clock_rate_ppm = 1'000;
  /// Largest difference of two wall clocks.
  Duration wall_clock_skew = std::chrono::seconds(2);
  /// Time until an unanswered append is tried again.
  Duration append_retry = std::chrono::milliseconds(500);
  /// Silence after which an instance is taken off the record.
  Duration removal_silence = std::chrono::seconds(60);
  /// Control records between two checkpoints.
  uint32_t checkpoint_records = 500;
};

/// Switches that turn one safety rule off, for the checks that show that each
/// rule is needed. All are on in every product path.
struct RuleSettings {
  bool majority = true;
  bool token_age = true;
  bool fence_wait = true;
  bool settled_steps = true;
  bool restart_rule = true;
  bool round_trip_age = true;
  bool digest_check = true;
  bool epoch_check = true;
};

/// What a core must be told of itself.
struct NodeSettings {
  wire::InstanceInfo info;
  TimingSettings timing;
  RuleSettings rules;
  /// Seed of every random choice.
  uint64_t seed = 0;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_SETTINGS_H_

#ifndef FILBERTWICK_CORE_SETTINGS_H_
#define FILBERTWICK_CORE_SETTINGS_H_

#include <cstdint>

#include "filbertwick/base/time.h"
#include "filbertwick/wire/control_record.h"

namespace filbertwick::core {

/// Timing of the ownership protocol. All instances must use the same values:
/// an instance trusts the others to stop acting on old state in the same time.
struct TimingSettings {
  /// Longest age at which a state summary (see wire::StateSummary) or a clock
  /// token is still valid.
  Duration evidence_age = std::chrono::milliseconds(500);
  /// Interval between two probes of one instance.
  Duration probe_interval = std::chrono::milliseconds(125);
  /// Silence of an owner after which its first successor takes its shards over.
  /// Longer than `evidence_age`.
  Duration takeover_silence = std::chrono::milliseconds(800);
  /// Additional silence for each further successor in the order of succession.
  Duration takeover_stagger = std::chrono::milliseconds(400);
  /// Largest rate difference between two monotonic clocks, in parts per
  /// million.
  uint32_t clock_rate_ppm = 1'000;
  /// Largest difference between two wall clocks.
  Duration wall_clock_skew = std::chrono::seconds(2);
  /// Delay before an unconfirmed append is first retried. Doubles per attempt,
  /// up to eight times this value.
  Duration append_retry = std::chrono::milliseconds(500);
  /// Silence after which an instance is removed from the membership.
  Duration removal_silence = std::chrono::seconds(60);
  /// Control records between two checkpoints.
  uint32_t checkpoint_records = 500;
};

/// Safety rules of the ownership protocol. Scenarios turn one rule off to show
/// that the protocol fails without it; in production all are on.
struct RuleSettings {
  /// A quorum is more than half of a member set; without the rule, two members.
  bool majority = true;
  /// A sidecar refuses offers whose clock token is older than `evidence_age`.
  bool token_age = true;
  /// A new owner waits twice `evidence_age`, plus clock drift, after its epoch
  /// has reached a quorum, so that all offers of the old owner have expired.
  bool fence_wait = true;
  /// A quorum is needed in every member set that is not settled yet; without
  /// the rule, in the newest set alone.
  bool settled_steps = true;
  /// A new incarnation counts towards quorums only after twice `evidence_age`
  /// and replies from a quorum of the others, because it has lost the state
  /// that its predecessor confirmed.
  bool restart_rule = true;
  /// The age of a reply counts from the sending of its probe; without the rule,
  /// from the arrival of the reply.
  bool round_trip_age = true;
  /// A job key that was used with another body is refused.
  bool digest_check = true;
  /// A sidecar refuses offers of an epoch older than the newest it knows.
  bool epoch_check = true;
};

/// Settings of one core.
struct NodeSettings {
  wire::InstanceInfo info;
  TimingSettings timing;
  RuleSettings rules;
  /// Seed of all random choices.
  uint64_t seed = 0;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_SETTINGS_H_

#ifndef FILBERTWICK_CORE_POLICY_POLICY_SETTINGS_H_
#define FILBERTWICK_CORE_POLICY_POLICY_SETTINGS_H_

#include <cstdint>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"

namespace filbertwick::core::policy {

/// Order in which waiting tasks get places.
struct QueueSettings {
  /// Jobs with the least remaining work go first; else first come, first
  /// served.
  bool least_work_first = true;
  /// Remaining work that a job is forgiven for each unit of waiting time.
  double ageing = 0.1;
  /// Teams share by weight; else teams are not told apart.
  bool fair_teams = true;
  /// Penalty of a team for work it got, against remaining work of a job: 0 is
  /// no fairness, large is fairness alone.
  double fairness = 0.05;
  /// Urgent jobs go before bulk ones.
  bool urgent_first = true;
  /// Of this many placements one goes to bulk jobs while both classes wait.
  uint32_t bulk_every = 10;
};

/// Choice of the upstream for a task.
struct PlacementSettings {
  /// Waits that differ by less count as equal.
  Duration equal_wait = std::chrono::microseconds(200);
  /// Among equal waits the own zone goes first.
  bool prefer_own_zone = true;
  /// Chance that another entry has taken one free slot unseen.
  double unseen_share = 0.05;
  /// Measured run times of single upstreams count.
  bool use_run_time = true;
  /// An upstream whose tasks run this many times longer than usual is slow.
  double slow_ratio = 1.5;
};

/// Tunables of the policy; each mechanism can be switched off to measure it.
struct PolicySettings {
  /// Zone of the entry itself, preferred while waits are equal.
  ZoneName own_zone;
  /// Waiting tasks of one entry; more are refused as overloaded.
  uint64_t max_waiting_tasks = 200'000;
  /// Entries that share the upstreams of a service, this one included.
  uint32_t sharing_entries = 1;
  /// A job of an urgent service is urgent itself when its caller waits at most
  /// this long; else it counts as bulk.
  Duration urgent_deadline = std::chrono::seconds(5);
  QueueSettings queue;
  PlacementSettings placement;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_POLICY_SETTINGS_H_

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
  double aging_rate = 0.1;
  /// Teams share by weight; else teams are not told apart.
  bool fair_teams = true;
  /// Penalty of a team for work it got, against remaining work of a job: 0 is
  /// no fairness, large is fairness alone.
  double fairness_weight = 1.0;
  /// Urgent jobs go before bulk ones.
  bool urgent_first = true;
  /// Of this many placements one goes to bulk jobs while both classes wait.
  uint32_t bulk_interval = 10;
};

/// Which tasks may wait at a sidecar beyond the free slots known of.
enum class SidecarQueueing : uint8_t { kNone, kUrgent, kAll };

/// Choice of the upstream for a task.
struct PlacementSettings {
  /// Waits that differ by less count as equal.
  Duration wait_resolution = std::chrono::microseconds(200);
  /// Among equal waits the own zone goes first.
  bool prefer_own_zone = true;
  /// Chance that another entry has taken one free slot unseen.
  double stale_slot_probability = 0.05;
  /// Tasks that may take waiting places at sidecars.
  SidecarQueueing sidecar_queueing = SidecarQueueing::kUrgent;
  /// Measured run times of single upstreams count.
  bool use_upstream_run_time = true;
  /// An upstream whose median task runs this many times longer than the
  /// service's is slow.
  double slow_run_time_ratio = 2.0;
};

/// Sharing of upstreams between entries.
struct SharingSettings {
  /// Share of all slots that is reserved, in equal parts for each entry, so
  /// that one entry's long job does not keep another's short one waiting.
  double reserved_share = 0.07;
};

/// Setting upstreams aside that fail more than the others.
struct EjectionSettings {
  bool enabled = true;
  /// Share of failures that an upstream is tested for.
  double outlier_failure_rate = 0.5;
  /// Share of failures assumed of the other upstreams at least.
  double min_baseline_failure_rate = 0.01;
  /// Logarithm of the likelihood ratio that ejects.
  double evidence = 11.0;
  /// Largest share of a service's upstreams that may be ejected.
  double max_ejected_share = 0.2;
  /// Time to the first probe; doubles with each that fails.
  Duration min_probe_delay = std::chrono::seconds(5);
  Duration max_probe_delay = std::chrono::minutes(5);
  /// Expected wait added to a suspect, for evidence enough to eject it.
  Duration max_suspicion_penalty = std::chrono::seconds(1);
};

/// Further starts of repeatable requests.
struct RetrySettings {
  /// Retries for each first send.
  double retry_ratio = 0.1;
  /// Most retries that may be saved up.
  double max_saved = 20.0;
};

/// Which jobs are taken in.
struct AdmissionSettings {
  /// Jobs that would end past their deadline are refused.
  bool enforce_deadline = true;
  /// Share of the deadline that a job may take by the estimate.
  double max_deadline_share = 0.8;
};

/// Taking tasks back that wait behind stragglers.
struct WithdrawalSettings {
  bool enabled = true;
  /// Time that a task waits at a sidecar before it is taken back for a slot
  /// that is free elsewhere.
  Duration min_wait = std::chrono::milliseconds(50);
};

/// Tunables of the policy; each mechanism can be switched off to measure it.
struct PolicySettings {
  /// Zone of the entry itself, preferred while waits are equal.
  ZoneName own_zone;
  /// Waiting tasks of one entry; more are refused as overloaded.
  uint64_t max_waiting_tasks = 200'000;
  /// Entries that share the upstreams of a service, this one included.
  uint32_t sharing_entries = 1;
  /// Number of this entry among them, from 0; each has another.
  uint32_t entry_index = 0;
  /// A job of an urgent service is urgent itself when its caller waits at most
  /// this long; else it counts as bulk.
  Duration max_urgent_deadline = std::chrono::seconds(15);
  QueueSettings queue;
  PlacementSettings placement;
  SharingSettings sharing;
  EjectionSettings ejection;
  RetrySettings retry;
  AdmissionSettings admission;
  WithdrawalSettings withdrawal;
  /// New upstreams and those of a zone that came back get one task more for
  /// each that succeeds; else all their slots at once.
  bool slow_start = true;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_POLICY_SETTINGS_H_

#ifndef FILBERTWICK_CORE_POLICY_POLICY_SETTINGS_H_
#define FILBERTWICK_CORE_POLICY_POLICY_SETTINGS_H_

#include <cstdint>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"

namespace filbertwick::core::policy {

/// Order in which waiting tasks are placed.
struct QueueSettings {
  /// Jobs with the least remaining work go first; otherwise in order of
  /// arrival.
  bool least_work_first = true;
  /// Seconds of remaining work that one second of waiting offsets in the order
  /// of jobs. 0 disables aging.
  double aging_rate = 0.1;
  /// Weighted fair queueing between teams; otherwise teams are ignored.
  bool fair_teams = true;
  /// Weight of a team's virtual time relative to the remaining work of its
  /// jobs. 0 disables fairness; with a large value only fairness counts.
  double fairness_weight = 1.0;
  /// Urgent jobs go before bulk ones.
  bool urgent_first = true;
  /// While both classes wait, one in this many placements goes to a bulk job.
  uint32_t bulk_interval = 10;
};

/// Which tasks may be placed on an upstream without a known free slot, where
/// they wait in the queue of its sidecar: none, those of urgent jobs or all.
enum class SidecarQueueing : uint8_t { kNone, kUrgent, kAll };

/// Selection of the upstream for a task.
struct PlacementSettings {
  /// Expected waits are rounded to multiples of this; equal multiples tie.
  Duration wait_resolution = std::chrono::microseconds(200);
  /// Upstreams in the entry's own zone win ties.
  bool prefer_own_zone = true;
  /// Probability that a slot shown as free has been taken by another entry.
  double stale_slot_probability = 0.05;
  /// Tasks that may be placed in the queues of sidecars.
  SidecarQueueing sidecar_queueing = SidecarQueueing::kUrgent;
  /// Uses the run times measured at each upstream; otherwise all upstreams of a
  /// service count as equally fast.
  bool use_upstream_run_time = true;
  /// An upstream is slow when its median run time exceeds this multiple of the
  /// service's median run time.
  double slow_run_time_ratio = 2.0;
};

/// Sharing of upstreams between entries.
struct SharingSettings {
  /// Share of all slots that is reserved, in equal parts for each entry.
  /// Without reserved slots a long job of one entry delays the short jobs of
  /// the others.
  double reserved_share = 0.07;
};

/// Ejection of upstreams that fail more often than the others.
struct EjectionSettings {
  bool enabled = true;
  /// Failure rate of an outlier, from 0 to 1, with which the results of an
  /// upstream are compared. It is raised when the other upstreams fail often.
  double outlier_failure_rate = 0.5;
  /// Lower bound of the failure rate assumed of the other upstreams.
  double min_baseline_failure_rate = 0.01;
  /// Log-likelihood ratio (natural logarithm) at which an upstream is ejected.
  double evidence_threshold = 11.0;
  /// Maximum share of a service's upstreams that may be ejected.
  double max_ejected_share = 0.2;
  /// Time from the ejection to the first probe; doubles after each failed
  /// probe, up to max_probe_delay.
  Duration min_probe_delay = std::chrono::seconds(5);
  /// Maximum time between probes.
  Duration max_probe_delay = std::chrono::minutes(5);
  /// Expected wait added to an upstream whose evidence equals
  /// evidence_threshold; less or more evidence adds proportionally.
  Duration suspicion_penalty = std::chrono::seconds(1);
};

/// Retries of repeatable requests.
struct RetrySettings {
  /// Retries added to the budget for each first attempt.
  double retry_ratio = 0.1;
  /// Maximum number of unused retries that the budget holds.
  double max_saved = 20.0;
};

/// Admission of jobs.
struct AdmissionSettings {
  /// Refuses jobs that are expected to miss their deadline.
  bool enforce_deadline = true;
  /// Maximum share of its deadline that a job may be expected to need.
  double max_deadline_share = 0.8;
};

/// Withdrawal of tasks that wait at a sidecar behind long-running tasks.
struct WithdrawalSettings {
  bool enabled = true;
  /// Time that a task waits at a sidecar before it may be withdrawn and placed
  /// on a free slot elsewhere.
  Duration min_wait = std::chrono::milliseconds(50);
};

/// Settings of the dispatch policy. Each mechanism can be disabled, so that its
/// effect can be measured.
struct PolicySettings {
  /// Zone of the entry; its upstreams win ties between equal waits.
  ZoneName own_zone;
  /// Maximum number of waiting tasks of one entry; jobs beyond it are refused
  /// as overloaded.
  uint64_t max_waiting_tasks = 200'000;
  /// Number of entries that share the upstreams, this one included.
  uint32_t sharing_entries = 1;
  /// Index of this entry among them, from 0; unique among the entries.
  uint32_t entry_index = 0;
  /// A job of an urgent service is urgent when its deadline is at most this
  /// long; otherwise it is bulk.
  Duration max_urgent_deadline = std::chrono::seconds(15);
  QueueSettings queue;
  PlacementSettings placement;
  SharingSettings sharing;
  EjectionSettings ejection;
  RetrySettings retry;
  AdmissionSettings admission;
  WithdrawalSettings withdrawal;
  /// Slow start: upstreams that are new or in a zone that returned get one task
  /// at first and one more for each success. Otherwise all their slots are
  /// used at once.
  bool slow_start = true;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_POLICY_SETTINGS_H_

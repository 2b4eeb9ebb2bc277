#ifndef FILBERTWICK_CORE_POLICY_OUTLIER_DETECTOR_H_
#define FILBERTWICK_CORE_POLICY_OUTLIER_DETECTOR_H_

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "filbertwick/base/hash.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/policy/placement_index.h"
#include "filbertwick/core/policy/policy_settings.h"
#include "filbertwick/core/policy/task_ref.h"

namespace filbertwick::core::policy {

/// Outlier detection for the upstreams of one service: ejects upstreams that
/// fail more often than the others and reinstates them after a successful
/// probe.
///
/// Each upstream has a cumulative sum (CUSUM) of log-likelihood ratios, never
/// below 0. Every result adds the log-likelihood ratio of two hypotheses: the
/// upstream fails at an outlier's rate
/// (EjectionSettings::outlier_failure_rate), or at the rate of the other
/// upstreams. A failure that raises the sum to
/// EjectionSettings::evidence_threshold ejects the upstream, unless too many
/// are ejected already.
///
/// A job's failures at one upstream count as evidence once, and not at all
/// after it has failed at a second upstream. Each result takes logarithmic
/// time, amortized over the regular decay of all counts. Deterministic.
class OutlierDetector {
 public:
  /// An upstream that was ejected or reinstated.
  struct Change {
    UpstreamId upstream = 0;
    bool ejected = false;
    std::string why;
  };

  explicit OutlierDetector(const EjectionSettings& settings);

  /// Adds an upstream without history; no effect when it is known.
  void Add(UpstreamId upstream);
  /// Removes an upstream and its history; no effect when it is unknown.
  void Remove(UpstreamId upstream);

  /// Records a success; reinstates the upstream when it is being probed.
  void OnSuccess(UpstreamId upstream);
  /// Records a failure of a task of `job`. May eject the upstream; ends a probe
  /// and schedules the next one.
  void OnFailure(UpstreamId upstream, JobHandle job, Instant now);

  /// True while the upstream is ejected, also during a probe.
  bool IsEjected(UpstreamId upstream) const;
  /// True while the ejected upstream may get one task as a probe.
  bool IsProbing(UpstreamId upstream) const;
  /// Evidence against the upstream as a fraction of the ejection threshold.
  double Suspicion(UpstreamId upstream) const;

  /// Returns the ejected upstreams whose probe is due and starts their probes.
  std::vector<UpstreamId> TakeDueProbes(Instant now);
  /// Time of the next probe; Instant::max() when there is none.
  Instant NextProbe() const;
  /// Ejections and reinstatements since the last call.
  std::vector<Change> TakeChanges();

  /// Adds the detector's state to a digest.
  void Hash(Hasher& hasher) const;

 private:
  enum class State : uint8_t { kUnknown, kHealthy, kEjected, kProbing };
  /// State and history of one upstream.
  struct UpstreamRecord {
    State state = State::kUnknown;
    /// Cumulative sum of log-likelihood ratios.
    double evidence = 0;
    /// Counted failures and results, with exponential decay.
    double failures = 0;
    double results = 0;
    /// Time from the last ejection or failed probe to the next probe.
    Duration backoff{0};
    Instant probe_at;
  };
  /// A failure that added evidence; its evidence is subtracted when the job
  /// fails at another upstream too.
  struct CountedFailure {
    JobHandle job = 0;
    UpstreamId upstream = 0;
    double evidence = 0;
  };

  /// nullptr for an unknown upstream.
  const UpstreamRecord* Find(UpstreamId upstream) const;
  /// Failure rate of all other upstreams, within the configured bounds.
  double BaselineFailureRate(const UpstreamRecord& record) const;
  void CountResult(UpstreamRecord& record, bool failed);
  /// Returns whether a failure of the job has been counted already. If it was
  /// counted at another upstream, subtracts its evidence there.
  bool DiscountRepeatedFailure(JobHandle job, UpstreamId upstream);
  bool MayEject() const;
  void Eject(UpstreamId upstream, Instant now);

  EjectionSettings settings_;
  std::vector<UpstreamRecord> records_;
  uint32_t upstream_count_ = 0;
  /// Ejected upstreams, including those being probed.
  uint32_t ejected_count_ = 0;
  /// Sums over all upstreams.
  double failures_ = 0;
  double results_ = 0;
  /// The latest counted failures, oldest first.
  std::deque<CountedFailure> counted_failures_;
  /// Ejected upstreams by the time of their next probe.
  std::set<std::pair<Instant, UpstreamId>> probes_;
  std::vector<Change> changes_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_OUTLIER_DETECTOR_H_

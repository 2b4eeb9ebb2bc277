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

/// Sets upstreams of one service aside that fail more than the others do, and
/// takes them back when a probe succeeds.
///
/// Each result moves a cumulative sum of log-likelihood ratios: failing at
/// `outlier_failure_rate` against failing as the other upstreams do. A job
/// counts once at an upstream, and not at all once it has failed at two.
/// Results cost logarithmic time. Deterministic.
class OutlierDetector {
 public:
  /// An upstream set aside or taken back.
  struct Change {
    UpstreamId upstream = 0;
    bool ejected = false;
    std::string why;
  };

  explicit OutlierDetector(const EjectionSettings& settings);

  /// Adds an upstream without history; ignored when it is known.
  void Add(UpstreamId upstream);
  /// Forgets an upstream; ignored when unknown.
  void Remove(UpstreamId upstream);

  /// A task succeeded there.
  void OnSuccess(UpstreamId upstream);
  /// A task of `job` failed there.
  void OnFailure(UpstreamId upstream, JobHandle job, Instant now);

  /// True while the upstream is set aside, probed or not.
  bool IsEjected(UpstreamId upstream) const;
  /// True while one task may go to the ejected upstream.
  bool IsProbing(UpstreamId upstream) const;
  /// Evidence against the upstream: 0 is none, 1 ejects it.
  double Suspicion(UpstreamId upstream) const;

  /// Ejected upstreams whose probe is due; they are probed from now on.
  std::vector<UpstreamId> TakeDueProbes(Instant now);
  /// When the next probe is due; Instant::max() when none.
  Instant NextProbe() const;
  /// What has changed since the last call.
  std::vector<Change> TakeChanges();

  /// Adds the ejector's state to a digest.
  void Hash(Hasher& hasher) const;

 private:
  enum class State : uint8_t { kUnknown, kHealthy, kEjected, kProbing };
  struct UpstreamRecord {
    State state = State::kUnknown;
    double evidence = 0;
    double failures = 0;
    double results = 0;
    Duration backoff{0};
    Instant probe_at;
  };
  /// One failure that counted, kept to take it back.
  struct CountedFailure {
    JobHandle job = 0;
    UpstreamId upstream = 0;
    double evidence = 0;
  };

  const UpstreamRecord* Find(UpstreamId upstream) const;
  double BaselineFailureRate(const UpstreamRecord& record) const;
  void CountResult(UpstreamRecord& record, bool failed);
  bool HasCountedFailure(JobHandle job, UpstreamId upstream);
  bool MayEject() const;
  void Eject(UpstreamId upstream, Instant now);

  EjectionSettings settings_;
  std::vector<UpstreamRecord> records_;
  uint32_t upstream_count_ = 0;
  uint32_t ejected_count_ = 0;
  double failures_ = 0;
  double results_ = 0;
  std::deque<CountedFailure> counted_failures_;
  std::set<std::pair<Instant, UpstreamId>> probes_;
  std::vector<Change> changes_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_OUTLIER_DETECTOR_H_

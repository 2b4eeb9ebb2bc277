#include "filbertwick/core/policy/outlier_detector.h"

#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace filbertwick::core::policy {
namespace {

/// Number of failures kept for detecting jobs that fail at several upstreams.
constexpr size_t kMaxCountedFailures = 256;
/// Number of results at which all counts are halved, so that old results decay.
constexpr double kDecayThreshold = 2000;
/// Upper bound of the failure rate of an outlier; below 1, so that the
/// likelihood of a success stays above 0.
constexpr double kMaxFailureRate = 0.95;
/// An outlier fails at least this many times as often as the other upstreams,
/// up to kMaxFailureRate.
constexpr double kOutlierRatio = 3.0;

}  // namespace

OutlierDetector::OutlierDetector(const EjectionSettings& settings)
    : settings_(settings) {}

void OutlierDetector::Add(UpstreamId upstream) {
  if (upstream >= records_.size()) {
    records_.resize(upstream + 1);
  }
  if (records_[upstream].state == State::kUnknown) {
    records_[upstream].state = State::kHealthy;
    ++upstream_count_;
  }
}

void OutlierDetector::Remove(UpstreamId upstream) {
  if (Find(upstream) == nullptr) {
    return;
  }
  UpstreamRecord& record = records_[upstream];
  probes_.erase({record.probe_at, upstream});
  ejected_count_ -= record.state == State::kHealthy ? 0 : 1;
  failures_ -= record.failures;
  results_ -= record.results;
  --upstream_count_;
  record = UpstreamRecord();
}

void OutlierDetector::OnSuccess(UpstreamId upstream) {
  if (Find(upstream) == nullptr) {
    return;
  }
  UpstreamRecord& record = records_[upstream];
  CountResult(record, false);
  if (record.state == State::kProbing) {
    record.state = State::kHealthy;
    record.evidence = 0;
    --ejected_count_;
    changes_.push_back({upstream, false, "a probe succeeded"});
    return;
  }
  const double baseline = BaselineFailureRate(record);
  const double outlier_rate =
      std::clamp(kOutlierRatio * baseline, settings_.outlier_failure_rate,
                 kMaxFailureRate);
  record.evidence = std::max(
      0.0, record.evidence + std::log((1.0 - outlier_rate) / (1.0 - baseline)));
}

void OutlierDetector::OnFailure(UpstreamId upstream,
                                JobHandle job,
                                Instant now) {
  if (!settings_.enabled || Find(upstream) == nullptr) {
    return;
  }
  UpstreamRecord& record = records_[upstream];
  if (record.state == State::kProbing) {
    Eject(upstream, now);
    return;
  }
  if (record.state == State::kEjected ||
      DiscountRepeatedFailure(job, upstream)) {
    return;
  }
  const double baseline = BaselineFailureRate(record);
  const double outlier_rate =
      std::clamp(kOutlierRatio * baseline, settings_.outlier_failure_rate,
                 kMaxFailureRate);
  const double evidence = std::max(0.0, std::log(outlier_rate / baseline));
  CountResult(record, true);
  record.evidence += evidence;
  counted_failures_.push_back({job, upstream, evidence});
  if (counted_failures_.size() > kMaxCountedFailures) {
    counted_failures_.pop_front();
  }
  if (record.evidence >= settings_.evidence_threshold && MayEject()) {
    Eject(upstream, now);
  }
}

bool OutlierDetector::IsEjected(UpstreamId upstream) const {
  const UpstreamRecord* record = Find(upstream);
  return record != nullptr && record->state != State::kHealthy;
}

bool OutlierDetector::IsProbing(UpstreamId upstream) const {
  const UpstreamRecord* record = Find(upstream);
  return record != nullptr && record->state == State::kProbing;
}

double OutlierDetector::Suspicion(UpstreamId upstream) const {
  const UpstreamRecord* record = Find(upstream);
  return record == nullptr ? 0.0
                           : record->evidence / settings_.evidence_threshold;
}

std::vector<UpstreamId> OutlierDetector::TakeDueProbes(Instant now) {
  std::vector<UpstreamId> due;
  while (!probes_.empty() && probes_.begin()->first <= now) {
    due.push_back(probes_.begin()->second);
    records_[due.back()].state = State::kProbing;
    probes_.erase(probes_.begin());
  }
  return due;
}

Instant OutlierDetector::NextProbe() const {
  return probes_.empty() ? Instant::max() : probes_.begin()->first;
}

std::vector<OutlierDetector::Change> OutlierDetector::TakeChanges() {
  return std::exchange(changes_, {});
}

void OutlierDetector::Hash(Hasher& hasher) const {
  hasher.Add(std::bit_cast<uint64_t>(failures_));
  hasher.Add(std::bit_cast<uint64_t>(results_));
  for (const UpstreamRecord& record : records_) {
    hasher.Add(static_cast<uint64_t>(record.state));
    hasher.Add(std::bit_cast<uint64_t>(record.evidence));
    hasher.Add(static_cast<uint64_t>(ToMicros(record.probe_at)));
  }
}

const OutlierDetector::UpstreamRecord* OutlierDetector::Find(
    UpstreamId upstream) const {
  const bool known =
      upstream < records_.size() && records_[upstream].state != State::kUnknown;
  return known ? &records_[upstream] : nullptr;
}

double OutlierDetector::BaselineFailureRate(
    const UpstreamRecord& record) const {
  // The lower bound keeps a first failure from ejecting the upstream: with a
  // baseline of 0 its log-likelihood ratio would be infinite.
  const double results = results_ - record.results;
  const double failures = failures_ - record.failures;
  const double rate = results < 1.0 ? 0.0 : failures / results;
  return std::clamp(rate, settings_.min_baseline_failure_rate,
                    kMaxFailureRate / 2);
}

void OutlierDetector::CountResult(UpstreamRecord& record, bool failed) {
  const double failure = failed ? 1.0 : 0.0;
  record.failures += failure;
  record.results += 1.0;
  failures_ += failure;
  results_ += 1.0;
  if (results_ < kDecayThreshold) {
    return;
  }
  failures_ = results_ = 0;
  for (UpstreamRecord& it : records_) {
    it.failures /= 2;
    it.results /= 2;
    failures_ += it.failures;
    results_ += it.results;
  }
}

bool OutlierDetector::DiscountRepeatedFailure(JobHandle job,
                                              UpstreamId upstream) {
  const auto it =
      std::ranges::find(counted_failures_, job, &CountedFailure::job);
  if (it == counted_failures_.end()) {
    return false;
  }
  if (it->upstream != upstream) {
    // The job fails at several upstreams, so its failures are no evidence
    // against any of them.
    UpstreamRecord& record = records_[it->upstream];
    if (record.state == State::kHealthy) {
      record.evidence = std::max(0.0, record.evidence - it->evidence);
    }
    it->evidence = 0;
  }
  return true;
}

bool OutlierDetector::MayEject() const {
  const auto limit = static_cast<uint32_t>(
      std::max(1.0, std::floor(settings_.max_ejected_share * upstream_count_)));
  return ejected_count_ < limit && ejected_count_ + 1 < upstream_count_;
}

void OutlierDetector::Eject(UpstreamId upstream, Instant now) {
  UpstreamRecord& record = records_[upstream];
  if (record.state == State::kHealthy) {
    ++ejected_count_;
    changes_.push_back(
        {upstream, true,
         fmt::format("failed {:.0f} of {:.0f} tasks, the others {:.1f}%",
                     record.failures, record.results,
                     100.0 * BaselineFailureRate(record))});
  }
  // Exponential backoff: each failed probe doubles the time to the next one.
  record.backoff = std::clamp(2 * record.backoff, settings_.min_probe_delay,
                              settings_.max_probe_delay);
  record.state = State::kEjected;
  record.probe_at = now + record.backoff;
  probes_.emplace(record.probe_at, upstream);
}

}  // namespace filbertwick::core::policy

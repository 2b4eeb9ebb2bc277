#include "filbertwick/core/policy/ejector.h"

#include <fmt/format.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace filbertwick::core::policy {
namespace {

/// Number of failures kept for detecting jobs that fail at every upstream.
constexpr size_t kCharges = 256;
/// Number of results at which all counts are halved, so that old results decay.
constexpr double kResultLimit = 2000;
/// Upper bound of the failure rate of an outlier; below 1, so that the
/// likelihood of a success stays above 0.
constexpr double kLargestShare = 0.95;
/// Failure rate of an outlier as a multiple of the others' rate.
constexpr double kWorse = 3.0;

}  // namespace

Ejector::Ejector(const EjectionSettings& settings) : settings_(settings) {}

void Ejector::Add(UpstreamId upstream) {
  if (upstream >= members_.size()) {
    members_.resize(upstream + 1);
  }
  if (members_[upstream].state == State::kUnknown) {
    members_[upstream].state = State::kTrusted;
    ++size_;
  }
}

void Ejector::Remove(UpstreamId upstream) {
  if (Find(upstream) == nullptr) {
    return;
  }
  Member& member = members_[upstream];
  probes_.erase({member.probe_at, upstream});
  ejected_ -= member.state == State::kTrusted ? 0 : 1;
  failures_ -= member.failures;
  results_ -= member.results;
  --size_;
  member = Member();
}

void Ejector::OnSuccess(UpstreamId upstream) {
  if (Find(upstream) == nullptr) {
    return;
  }
  Member& member = members_[upstream];
  Count(member, false);
  if (member.state == State::kProbing) {
    member.state = State::kTrusted;
    member.evidence = 0;
    --ejected_;
    changes_.push_back({upstream, false, "a probe succeeded"});
    return;
  }
  const double usual = UsualShare(member);
  const double bad =
      std::clamp(kWorse * usual, settings_.failure_share, kLargestShare);
  member.evidence =
      std::max(0.0, member.evidence + std::log((1.0 - bad) / (1.0 - usual)));
}

void Ejector::OnFailure(UpstreamId upstream, JobHandle job, Instant now) {
  if (!settings_.enabled || Find(upstream) == nullptr) {
    return;
  }
  Member& member = members_[upstream];
  if (member.state == State::kProbing) {
    Eject(upstream, now);
    return;
  }
  if (member.state == State::kEjected || TakeBackCharge(job, upstream)) {
    return;
  }
  const double usual = UsualShare(member);
  const double bad =
      std::clamp(kWorse * usual, settings_.failure_share, kLargestShare);
  const double evidence = std::max(0.0, std::log(bad / usual));
  Count(member, true);
  member.evidence += evidence;
  charges_.push_back({job, upstream, evidence});
  if (charges_.size() > kCharges) {
    charges_.pop_front();
  }
  if (member.evidence >= settings_.evidence && MayEject()) {
    Eject(upstream, now);
  }
}

bool Ejector::IsEjected(UpstreamId upstream) const {
  const Member* member = Find(upstream);
  return member != nullptr && member->state != State::kTrusted;
}

bool Ejector::IsProbing(UpstreamId upstream) const {
  const Member* member = Find(upstream);
  return member != nullptr && member->state == State::kProbing;
}

double Ejector::Suspicion(UpstreamId upstream) const {
  const Member* member = Find(upstream);
  return member == nullptr ? 0.0 : member->evidence / settings_.evidence;
}

std::vector<UpstreamId> Ejector::TakeDueProbes(Instant now) {
  std::vector<UpstreamId> due;
  while (!probes_.empty() && probes_.begin()->first <= now) {
    due.push_back(probes_.begin()->second);
    members_[due.back()].state = State::kProbing;
    probes_.erase(probes_.begin());
  }
  return due;
}

Instant Ejector::NextProbe() const {
  return probes_.empty() ? Instant::max() : probes_.begin()->first;
}

std::vector<Ejector::Change> Ejector::TakeChanges() {
  return std::exchange(changes_, {});
}

void Ejector::Hash(Hasher& hasher) const {
  hasher.Add(std::bit_cast<uint64_t>(failures_));
  hasher.Add(std::bit_cast<uint64_t>(results_));
  for (const Member& member : members_) {
    hasher.Add(static_cast<uint64_t>(member.state));
    hasher.Add(std::bit_cast<uint64_t>(member.evidence));
    hasher.Add(static_cast<uint64_t>(ToMicros(member.probe_at)));
  }
}

const Ejector::Member* Ejector::Find(UpstreamId upstream) const {
  const bool known =
      upstream < members_.size() && members_[upstream].state != State::kUnknown;
  return known ? &members_[upstream] : nullptr;
}

double Ejector::UsualShare(const Member& member) const {
  // Without the lower bound a single failure would be enough evidence while the
  // others have not failed.
  const double results = results_ - member.results;
  const double failures = failures_ - member.failures;
  const double share = results < 1.0 ? 0.0 : failures / results;
  return std::clamp(share, settings_.usual_floor, kLargestShare / 2);
}

void Ejector::Count(Member& member, bool failed) {
  const double failure = failed ? 1.0 : 0.0;
  member.failures += failure;
  member.results += 1.0;
  failures_ += failure;
  results_ += 1.0;
  if (results_ < kResultLimit) {
    return;
  }
  failures_ = results_ = 0;
  for (Member& it : members_) {
    it.failures /= 2;
    it.results /= 2;
    failures_ += it.failures;
    results_ += it.results;
  }
}

bool Ejector::TakeBackCharge(JobHandle job, UpstreamId upstream) {
  const auto it = std::ranges::find(charges_, job, &Charge::job);
  if (it == charges_.end()) {
    return false;
  }
  if (it->upstream != upstream) {
    // The job fails at several upstreams, so its failures are no evidence
    // against any of them.
    Member& member = members_[it->upstream];
    if (member.state == State::kTrusted) {
      member.evidence = std::max(0.0, member.evidence - it->evidence);
    }
    it->evidence = 0;
  }
  return true;
}

bool Ejector::MayEject() const {
  const auto limit = static_cast<uint32_t>(
      std::max(1.0, std::floor(settings_.largest_share * size_)));
  return ejected_ < limit && ejected_ + 1 < size_;
}

void Ejector::Eject(UpstreamId upstream, Instant now) {
  Member& member = members_[upstream];
  if (member.state == State::kTrusted) {
    ++ejected_;
    changes_.push_back(
        {upstream, true,
         fmt::format("failed {:.0f} of {:.0f} tasks, the others {:.1f}%",
                     member.failures, member.results,
                     100.0 * UsualShare(member))});
  }
  // Exponential backoff: each failed probe doubles the time to the next one.
  member.backoff = std::clamp(2 * member.backoff, settings_.first_probe,
                              settings_.longest_probe);
  member.state = State::kEjected;
  member.probe_at = now + member.backoff;
  probes_.emplace(member.probe_at, upstream);
}

}  // namespace filbertwick::core::policy

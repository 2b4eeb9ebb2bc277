#include "filbertwick/wire/job.h"

#include <array>

namespace filbertwick::wire {
namespace {

/// Seed of the low half of the digest. Both halves hash the same fields;
/// without a seed of its own, the low half would equal the high half.
constexpr uint64_t kSecondDigestSeed = 0x9e3779b97f4a7c15;

}  // namespace

BodyDigest DigestJob(const JobSpec& spec) {
  Hasher high;
  Hasher low;
  low.Add(kSecondDigestSeed);
  for (Hasher* hasher : {&high, &low}) {
    hasher->Add(spec.service.value());
    hasher->Add(spec.team.value());
    for (const std::string& payload : spec.payloads) {
      hasher->Add(payload);
    }
  }
  return {high.digest(), low.digest()};
}

std::string_view ToString(Reason reason) {
  static constexpr std::array<std::string_view, 17> kTexts = {
      "none",
      "unknown_service",
      "unknown_team",
      "invalid_job",
      "over_quota",
      "overloaded",
      "no_upstream",
      "digest_mismatch",
      "no_evidence",
      "stopping",
      "other_region_cut_off",
      "deadline",
      "cancelled",
      "task_failed",
      "worker_lost",
      "unknown_job",
      "expired",
  };
  const auto n = static_cast<size_t>(reason);
  return n < kTexts.size() ? kTexts[n] : "unknown";
}

std::string_view ToString(TaskOutcome outcome) {
  switch (outcome) {
    case TaskOutcome::kSucceeded:
      return "succeeded";
    case TaskOutcome::kRan:
      return "ran";
    case TaskOutcome::kNotRun:
      return "not_run";
    case TaskOutcome::kMayHaveRun:
      return "may_have_run";
  }
  return "unknown";
}

std::string_view ToString(JobOutcome outcome) {
  switch (outcome) {
    case JobOutcome::kComplete:
      return "complete";
    case JobOutcome::kFailed:
      return "failed";
    case JobOutcome::kRefused:
      return "refused";
  }
  return "unknown";
}

}  // namespace filbertwick::wire

#ifndef FILBERTWICK_HARNESS_CALLER_POOL_H_
#define FILBERTWICK_HARNESS_CALLER_POOL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "filbertwick/harness/observer.h"
#include "filbertwick/harness/random.h"
#include "filbertwick/harness/world.h"

namespace filbertwick::harness {

/// How callers behave.
struct CallerSettings {
  /// Without an answer after a time in this range the caller hangs up and
  /// resubmits through another entry.
  Duration timeout_min = std::chrono::milliseconds(1'500);
  Duration timeout_max = std::chrono::milliseconds(6'000);
  /// Pause before a resubmission.
  Duration pause_min = std::chrono::milliseconds(5);
  Duration pause_max = std::chrono::milliseconds(200);
  /// After this time since the first request a refusal is final.
  Duration patience = std::chrono::seconds(8);
  /// Share of callers that resubmit without hanging up first.
  double impatience = 0;
  /// Share of callers that also send the same id with another body.
  double clashes = 0;
  /// Share of callers that cancel their job while it runs.
  double cancels = 0;
};

/// A job as a caller wants it done.
struct CallerJob {
  uint32_t tasks = 1;
  Duration deadline = std::chrono::seconds(10);
  /// Text of the id; a UUIDv7 is made when empty.
  std::string id;
  /// First entry; one that is ready when empty.
  InstanceName entry;
  /// The caller neither cancels nor sends another body.
  bool submit_only = false;
  /// Bytes of each payload at the least.
  size_t payload_bytes = 0;
};

/// What became of a job.
struct CallerResult {
  wire::JobSpec spec;
  Duration submitted{0};
  /// When the last word came; negative without one.
  Duration answered{-1};
  std::optional<wire::JobAnswer> answer;
  /// Requests sent, the first included.
  uint32_t requests = 0;
};

/// Counts of jobs by their last word.
struct CallerCounts {
  uint64_t jobs = 0;
  uint64_t complete = 0;
  uint64_t failed = 0;
  uint64_t refused = 0;
  uint64_t unanswered = 0;
  /// Failed and refused jobs by reason.
  std::map<wire::Reason, uint64_t> reasons;
};

/// Callers that submit jobs, wait, and resubmit through other entries until
/// they have a last word.
class CallerPool {
 public:
  CallerPool(World& world,
             Observer& observer,
             uint64_t seed,
             const CallerSettings& settings);
  ~CallerPool();

  /// Submits a job now; the number under which its result is kept.
  size_t Submit(const CallerJob& job);
  /// Sends the job again through `entry`, besides what runs already.
  void Resubmit(size_t job, const InstanceName& entry);
  /// Sends the id of a job with another body through `entry`.
  void Clash(size_t job, const InstanceName& entry);
  /// Cancels a job through `entry`.
  void Cancel(size_t job, const InstanceName& entry);

  /// A new job id born now.
  std::string MakeId();

  /// What became of a job so far.
  const CallerResult& result(size_t job) const;
  /// All jobs so far.
  size_t size() const;
  /// Jobs by their last word.
  CallerCounts Counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_CALLER_POOL_H_

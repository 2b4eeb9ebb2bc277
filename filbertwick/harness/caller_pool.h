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

/// Behaviour of the simulated callers.
struct CallerSettings {
  /// Bounds of the time after which a caller without an answer closes its
  /// connection and resubmits the job through another entry.
  Duration timeout_min = std::chrono::milliseconds(1'500);
  Duration timeout_max = std::chrono::milliseconds(6'000);
  /// Bounds of the delay before a resubmission.
  Duration pause_min = std::chrono::milliseconds(5);
  Duration pause_max = std::chrono::milliseconds(200);
  /// A refusal is retried until this time after the first request; a later one
  /// is final.
  Duration refusal_retry_window = std::chrono::seconds(8);
  /// Fraction of callers that resubmit without closing the earlier connection,
  /// so that several requests for one job are open at once.
  double overlap_probability = 0;
  /// Fraction of callers that also send the same job id with another body.
  double clash_probability = 0;
  /// Fraction of callers that cancel their job shortly after they submit it.
  double cancel_probability = 0;
};

/// A job to be submitted by a caller.
struct CallerJob {
  uint32_t tasks = 1;
  Duration deadline = std::chrono::seconds(10);
  /// Job id; a UUIDv7 is generated when empty.
  std::string id;
  /// Entry for the first request; when empty, a random entry that is ready.
  InstanceName entry;
  /// The caller neither cancels the job nor sends its id with another body.
  bool submit_only = false;
  /// Minimum size of each payload in bytes.
  size_t payload_bytes = 0;
};

/// The state of a job as its caller sees it.
struct CallerResult {
  wire::JobSpec spec;
  Duration submitted{0};
  /// Virtual time of the final answer; negative until it arrives.
  Duration answered{-1};
  /// The final answer: any outcome except a refusal that is retried.
  std::optional<wire::JobAnswer> answer;
  /// Number of requests sent, including the first.
  uint32_t requests = 0;
};

/// Counts of jobs by the outcome of their final answer.
struct CallerCounts {
  uint64_t jobs = 0;
  uint64_t complete = 0;
  uint64_t failed = 0;
  uint64_t refused = 0;
  uint64_t unanswered = 0;
  /// Counts of failed and refused jobs by reason.
  std::map<wire::Reason, uint64_t> reasons;
};

/// Simulated callers. Each submits a job and resubmits it through other
/// entries, under the same job id, until it has a final answer.
class CallerPool {
 public:
  CallerPool(World& world,
             Observer& observer,
             uint64_t seed,
             const CallerSettings& settings);
  ~CallerPool();

  /// Submits a job and returns its index for the other functions.
  size_t Submit(const CallerJob& job);
  /// Sends the job again through `entry`, in addition to its open requests.
  void Resubmit(size_t job, const InstanceName& entry);
  /// Sends the id of a job with another body through `entry`. The answer goes
  /// to the observer alone.
  void Clash(size_t job, const InstanceName& entry);
  /// Requests the cancellation of a job through `entry`.
  void Cancel(size_t job, const InstanceName& entry);

  /// Returns a new UUIDv7 with the current time of the callers' clock.
  std::string MakeId();

  /// Returns the current state of a job.
  const CallerResult& result(size_t job) const;
  /// Number of jobs submitted so far.
  size_t size() const;
  /// Counts all jobs by the outcome of their final answer.
  CallerCounts Counts() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_CALLER_POOL_H_

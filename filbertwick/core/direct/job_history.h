#ifndef FILBERTWICK_CORE_DIRECT_JOB_HISTORY_H_
#define FILBERTWICK_CORE_DIRECT_JOB_HISTORY_H_

#include <cstdint>
#include <deque>
#include <string>

#include "filbertwick/base/time.h"

namespace filbertwick::core::direct {

/// The newest decisions on one job, kept in memory until its outcome is known.
/// The lines that report each decision share a limited log volume with those of
/// all other jobs; the history of a job that ends badly is logged as one line.
class JobHistory {
 public:
  /// Decisions beyond this number replace the oldest ones.
  static constexpr size_t kMaxDecisions = 32;

  /// Adds a decision that was made `age` after the arrival of the job.
  void Add(Duration age, std::string text);
  bool empty() const { return decisions_.empty(); }
  /// Formats the decisions, oldest first, as `+AGE_MS ms TEXT` separated by
  /// semicolons, after the number of those that were replaced.
  std::string Format() const;

 private:
  struct Decision {
    Duration age{0};
    std::string text;
  };

  std::deque<Decision> decisions_;
  uint64_t replaced_ = 0;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_JOB_HISTORY_H_

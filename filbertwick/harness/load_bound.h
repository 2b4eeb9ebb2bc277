#ifndef FILBERTWICK_HARNESS_LOAD_BOUND_H_
#define FILBERTWICK_HARNESS_LOAD_BOUND_H_

#include <span>

#include "filbertwick/base/time.h"

namespace filbertwick::harness {

/// A job for MaxWorthInTime().
struct BoundJob {
  /// Counted from the beginning of the first second.
  Duration arrived{0};
  Duration target{0};
  /// Processor time of all its tasks, in seconds of a core.
  double work = 0;
  double worth = 0;
};

/// Returns the most worth that a scheduler could earn with answers in time who
/// knows all jobs in advance and can divide their work at will, when
/// `capacity` is the work that can be done in each second. Work can be done in
/// any second that the time from the job's arrival to its target touches. The
/// seconds after the last one have the capacity of that one.
double MaxWorthInTime(std::span<const BoundJob> jobs,
                      std::span<const double> capacity);

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_LOAD_BOUND_H_

#ifndef BENCH_POLICY_FIGURES_H_
#define BENCH_POLICY_FIGURES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bench/policy/workload.h"

namespace filbertwick::bench {

/// What was counted in the runs of one policy.
struct Figures {
  /// Response against ideal time of jobs that were complete or past their
  /// deadline, warm-up left out; the latter count with the deadline.
  std::vector<double> urgent;
  std::vector<double> bulk;
  /// Of jobs of the team with the extra load, for Fault::kGreedyTeam.
  std::vector<double> greedy;
  uint64_t jobs = 0;
  uint64_t complete = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t past_deadline = 0;
  uint64_t tasks = 0;
  uint64_t starts = 0;
  /// Messages of work between entries and sidecars, and those that led to no
  /// start, result or needed state.
  uint64_t messages = 0;
  uint64_t wasted = 0;
  /// Tasks that failed at the executor which fails all of them, while their
  /// entry had not set it aside.
  uint64_t lost_to_failing = 0;
  uint64_t ejections = 0;
  /// Work of complete jobs within the window, in seconds of one slot, and the
  /// capacity of the window.
  double useful_work = 0;
  double capacity = 0;
  /// Longest time from a caller's submission to its refusal.
  Duration slowest_refusal{0};

  /// Adds the counts of another run.
  void Add(const Figures& other);
};

/// Mean and percentiles of a set of slowdowns.
struct Summary {
  double mean = 0;
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
};

/// Sorts `values` and sums them up; all zero for none.
Summary Summarize(std::vector<double> values);
/// Both classes together.
std::vector<double> AllJobs(const Figures& figures);

/// One line of the table: a policy at a load.
struct Row {
  std::string policy;
  double load = 0;
  Figures figures;
};

/// The table for people.
std::string FormatTable(const std::vector<Row>& rows);
/// The same as a JSON array.
std::string FormatJson(const std::vector<Row>& rows);

/// Time that a run needs before its figures count.
inline constexpr Instant kWarmUpEnd = Instant(std::chrono::seconds(5));

/// The span in which useful work is counted.
struct Window {
  Instant from;
  Instant to;

  bool Contains(Instant at) const { return from <= at && at < to; }
};

/// The window of a run.
Window WorkWindow(const Deployment& deployment, Fault fault);
/// Seconds of slots available in the window.
double WindowCapacity(const Deployment& deployment, Fault fault);

}  // namespace filbertwick::bench

#endif  // BENCH_POLICY_FIGURES_H_

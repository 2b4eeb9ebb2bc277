#ifndef BENCH_POLICY_FIGURES_H_
#define BENCH_POLICY_FIGURES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "bench/policy/workload.h"

namespace filbertwick::bench {

/// Counts and measurements of the runs of one policy.
struct Figures {
  /// Slowdown, the response time divided by the ideal time, of jobs that
  /// completed or missed their deadline; a missed deadline counts as a response
  /// at the deadline. Jobs that arrive during the warm-up are excluded.
  std::vector<double> urgent;
  std::vector<double> bulk;
  /// Slowdowns of the team with the extra load under Fault::kGreedyTeam; they
  /// are excluded from `urgent` and `bulk`.
  std::vector<double> greedy;
  uint64_t jobs = 0;
  uint64_t complete = 0;
  uint64_t refused = 0;
  uint64_t failed = 0;
  uint64_t past_deadline = 0;
  uint64_t tasks = 0;
  uint64_t starts = 0;
  /// Task messages between entries and sidecars: offers, reports, withdrawals.
  /// A message is wasted if it leads to no start, result or needed state.
  /// Wasted ones are counted per task: two for an offer that is returned
  /// without a start, one for the withdrawal of a task unless its job has
  /// ended.
  uint64_t messages = 0;
  uint64_t wasted = 0;
  /// Tasks that failed at the executor that fails every task while their entry
  /// had not ejected it.
  uint64_t lost_to_failing = 0;
  uint64_t ejections = 0;
  /// Work of completed jobs that was done within the window, and the capacity
  /// of the window, both in slot-seconds.
  double useful_work = 0;
  double capacity = 0;
  /// Longest time from a caller's submission until it receives the refusal.
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

/// Returns the mean and percentiles of `values`; all zero if it is empty.
Summary Summarize(std::vector<double> values);
/// Returns the slowdowns of urgent and bulk jobs together.
std::vector<double> AllJobs(const Figures& figures);

/// One row of the table: a policy at a load.
struct Row {
  std::string policy;
  double load = 0;
  Figures figures;
};

/// Formats the rows as a text table.
std::string FormatTable(const std::vector<Row>& rows);
/// Formats the rows as a JSON array.
std::string FormatJson(const std::vector<Row>& rows);

/// End of the warm-up; jobs that arrive earlier are excluded from slowdowns.
inline constexpr Instant kWarmUpEnd = Instant(std::chrono::seconds(5));

/// The time span in which useful work is counted, without its end.
struct Window {
  Instant from;
  Instant to;

  bool Contains(Instant at) const { return from <= at && at < to; }
};

/// Returns the window of a run.
Window WorkWindow(const Deployment& deployment, Fault fault);
/// Returns the capacity available in the window, in slot-seconds.
double WindowCapacity(const Deployment& deployment, Fault fault);

}  // namespace filbertwick::bench

#endif  // BENCH_POLICY_FIGURES_H_

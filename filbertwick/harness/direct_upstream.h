#ifndef FILBERTWICK_HARNESS_DIRECT_UPSTREAM_H_
#define FILBERTWICK_HARNESS_DIRECT_UPSTREAM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/sidecar_effect.h"

namespace filbertwick::harness {

/// Model of an upstream for tests of the sidecar protocol.
///
/// It executes start, stop and list commands of a sidecar. It rejects a command
/// whose fencing token is below the highest one it has seen, so a replaced
/// sidecar cannot change it any more. Start and list commands extend one lease
/// on all runs, by at most kMaxLeaseMillis; when the lease expires, all runs
/// end. Ended runs stay listed until a list command acknowledges them.
///
/// It checks neither capacity nor duplicate runs of a task, so that errors of
/// the sidecar become visible. Its clock may run slow. Runs end only when
/// Advance() is called, directly or by a command, at or after their ends.
class DirectUpstream {
 public:
  /// Longest lease in milliseconds of the upstream's clock.
  static constexpr int64_t kMaxLeaseMillis = 1000;

  /// How a run ends if it is neither stopped nor killed.
  struct RunPlan {
    Duration length{0};
    core::direct::EndKind end = core::direct::EndKind::kDone;
    /// Its progress is never reported above this; 0 for a task that hangs.
    int64_t max_percent = 100;
  };

  /// `started_unix_millis` identifies this incarnation of the upstream: its
  /// start time, or a counter. `started_at` is the current virtual time, at
  /// which its clock starts, and `rate` the speed of this clock relative to
  /// virtual time. The caller decides the resource needs and the length of each
  /// run.
  DirectUpstream(int64_t started_unix_millis, Duration started_at, double rate)
      : started_unix_millis_(started_unix_millis),
        created_at_(started_at),
        rate_(rate) {}

  /// Called for each run that has ended, with the kind of its end.
  using EndHook =
      std::function<void(const core::direct::TaskRun&, core::direct::EndKind)>;
  void SetEndHook(EndHook hook) { end_hook_ = std::move(hook); }

  /// Returns the upstream's own clock in milliseconds, always above 0.
  core::direct::UpstreamMillis Clock(Duration now) const;
  /// Extends the lease and starts a run, unless it already runs.
  /// Returns kFenced for a lower token; kRefused if the lease in the command
  /// has already expired, or if this or a later run of the task has ended.
  core::direct::CommandResult Start(Duration now,
                                    const core::direct::StartCommand& command,
                                    const RunPlan& plan);
  /// Stops a run after a short delay, and bars the task from starting under
  /// this or a lower run number. Returns kFenced for a lower token.
  core::direct::CommandResult Stop(Duration now,
                                   const core::direct::StopCommand& command);
  /// Lists the running and the unacknowledged ended runs. Returns kFenced for a
  /// lower token and leaves `listing` empty then.
  core::direct::CommandResult List(Duration now,
                                   const core::direct::ListCommand& command,
                                   core::direct::Listing& listing);
  /// Ends the runs that are complete or stopped at `now`, and all runs if the
  /// lease has expired.
  void Advance(Duration now);

  /// Returns when the next run ends, unless the lease expires before;
  /// Duration::max() when none runs.
  Duration NextEnd() const;
  /// Returns the runs that have not ended.
  std::vector<core::direct::TaskRun> Running() const;
  int64_t started_unix_millis() const { return started_unix_millis_; }
  /// Returns whether a command with a fencing token was accepted.
  bool has_token() const { return token_ > 0; }

 private:
  struct Run {
    /// Run number of the task.
    uint64_t run = 0;
    Duration started_at{0};
    RunPlan plan;
    /// Time at which a stop takes effect.
    Duration stopped_at{Duration::max()};
  };

  /// Returns false for a token below the highest one seen; otherwise remembers
  /// it.
  bool Accepts(uint64_t token);
  /// Extends the lease to `until`, within kMaxLeaseMillis of now.
  void Extend(Duration now, core::direct::UpstreamMillis until);
  void End(const std::string& task, uint64_t run, core::direct::EndKind kind);

  const int64_t started_unix_millis_;
  const Duration created_at_;
  const double rate_;
  uint64_t token_ = 0;
  core::direct::UpstreamMillis lease_end_ = 0;
  /// Unended runs by task. One task may have several, since duplicates are not
  /// rejected.
  std::multimap<std::string, Run> runs_;
  /// Highest run number that has ended or was stopped, by task.
  std::map<std::string, uint64_t> highest_ended_run_;
  std::vector<core::direct::ListedEnd> unacknowledged_ends_;
  uint64_t last_end_ = 0;
  EndHook end_hook_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_DIRECT_UPSTREAM_H_

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

/// An upstream that takes orders, grants leases of bounded length and starts
/// whatever it is told, room or not. Its clock may run slow. Runs end when
/// Advance() is called past their ends.
class DirectUpstream {
 public:
  /// Longest lease, on the upstream's clock.
  static constexpr int64_t kMaxLeaseMillis = 1000;

  /// `rate` is the speed of its clock; how a run's needs and length are found
  /// is the owner's matter.
  DirectUpstream(int64_t born, Duration begun, double rate)
      : born_(born), created_at_(begun), rate_(rate) {}

  /// Told of each run that has ended.
  using EndHook =
      std::function<void(const core::direct::TaskRun&, core::direct::EndKind)>;
  void SetEndHook(EndHook hook) { end_hook_ = std::move(hook); }

  /// Milliseconds on its clock.
  core::direct::UpstreamMillis Clock(Duration now) const;
  core::direct::CommandResult Start(Duration now,
                                    const core::direct::StartCommand& command,
                                    Duration length);
  core::direct::CommandResult Stop(Duration now,
                                   const core::direct::StopCommand& command);
  /// Nothing is listed for an order under a lower token: kFenced.
  core::direct::CommandResult List(Duration now,
                                   const core::direct::ListCommand& command,
                                   core::direct::Listing& listing);
  /// Ends what is due, lapsed or stopped by `now`.
  void Advance(Duration now);

  /// The runs that are there.
  std::vector<core::direct::TaskRun> Running() const;
  int64_t born() const { return born_; }
  /// Some order with a fencing token was taken.
  bool has_token() const { return token_ > 0; }

 private:
  struct Run {
    uint64_t run = 0;
    Duration begun{0};
    Duration length{0};
    /// Set by a stop.
    Duration stopped_at{Duration::max()};
  };

  bool Accepts(uint64_t token);
  void Extend(Duration now, core::direct::UpstreamMillis until);
  void End(const std::string& task, uint64_t run, core::direct::EndKind kind);

  const int64_t born_;
  const Duration created_at_;
  const double rate_;
  uint64_t token_ = 0;
  core::direct::UpstreamMillis lease_end_ = 0;
  /// Several runs of one task may be there: it does not guard against them.
  std::multimap<std::string, Run> runs_;
  std::map<std::string, uint64_t> highest_ended_run_;
  std::vector<core::direct::ListedEnd> unacknowledged_ends_;
  uint64_t last_end_ = 0;
  EndHook end_hook_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_DIRECT_UPSTREAM_H_

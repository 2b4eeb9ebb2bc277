#ifndef FILBERTWICK_SOAK_CALLERS_H_
#define FILBERTWICK_SOAK_CALLERS_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/platform/platform_settings.h"
#include "soak/observer.h"

namespace filbertwick::soak {

/// Where the simulated callers send jobs, and at which rate.
struct CallerSettings {
  /// Addresses at which callers reach the entries.
  std::vector<platform::Address> entries;
  /// Readiness endpoint of each entry, in the order of `entries`.
  std::vector<platform::Address> readiness;
  std::string host;
  std::string path_prefix;
  /// Mean rate of a Poisson process.
  double jobs_per_second = 30;
  uint64_t seed = 0;
};

/// Simulated callers. They submit jobs at random times, resend a job when its
/// connection breaks, and retry a refused job after the time in `Retry-After`.
/// Half of the jobs go to an entry that reports ready, as through a load
/// balancer. The other half go to any entry first, as over a connection that is
/// already open, and follow readiness only when they are sent again. Must be
/// used on the context's thread only.
class Callers {
 public:
  /// Called once with the final outcome of a job.
  using DoneHook = std::function<void(bool completed)>;

  static std::unique_ptr<Callers> Create(boost::asio::io_context& context,
                                         CallerSettings settings,
                                         Observer& observer);
  ~Callers();

  /// Starts or stops the random load. Jobs already submitted go on.
  void SetLoad(bool on);
  /// Submits one job, on a route that `path_prefix` selects. `done` is called
  /// once, when the job is answered or given up.
  void Submit(std::string_view path_prefix, DoneHook done);
  /// Number of jobs that are neither answered nor given up.
  size_t open_jobs() const;
  /// Number of entries whose last readiness check succeeded.
  size_t ready_entries() const;

 private:
  class Impl;
  explicit Callers(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::soak

#endif  // FILBERTWICK_SOAK_CALLERS_H_

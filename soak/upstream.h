#ifndef FILBERTWICK_SOAK_UPSTREAM_H_
#define FILBERTWICK_SOAK_UPSTREAM_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "filbertwick/platform/platform_settings.h"
#include "soak/observer.h"

// Protocol between a sidecar and its upstream: the upstream announces itself at
// regular intervals with `PUT /api/instances/ID`, where ID names one
// incarnation. The sidecar starts runs (`/api/run-start`), stops them
// (`/api/run-stop`) and lists running and ended ones (`/api/hold`, which may
// wait for an end). A command that names another incarnation is answered with
// status 421, and one below the highest fencing token seen so far with 409.
// Starts and listings extend a lease on all runs of the upstream; runs end when
// it expires. An ended run stays listed until the sidecar acknowledges its
// number.

namespace filbertwick::soak {

/// Addresses and properties of an upstream.
struct UpstreamSettings {
  std::string name;
  std::string zone;
  std::string service;
  platform::Address listen;
  /// Address in its announcements, at which the sidecar reaches it.
  platform::Address announced_address;
  platform::Address sidecar;
  /// Announced capacity, in tasks of one core.
  size_t max_running_tasks = 4;
  /// Rate of its clock relative to real time.
  double clock_rate = 1;
  uint64_t seed = 0;
};

/// A simulated upstream, across its incarnations. It executes the sidecar's
/// commands, runs each task for the time in its spec, and announces itself to
/// its sidecar. Must be used on the context's thread only.
class Upstream {
 public:
  /// Listens and starts the first incarnation. Fails with Unavailable if it
  /// can't listen.
  static absl::StatusOr<std::unique_ptr<Upstream>> Create(
      boost::asio::io_context& context,
      UpstreamSettings settings,
      Observer& observer);
  ~Upstream();

  /// Ends the runs whose time or lease is over.
  void Advance();
  /// Ends all runs at once. Until Restart() commands get no answer and no
  /// announcements are sent.
  void Crash();
  /// Starts a new incarnation after Crash(); does nothing otherwise.
  void Restart();
  /// While set, tasks that start never end by themselves.
  void SetHanging(bool hanging);
  /// While set, some commands get no answer and are executed 0.5 s to 2.5 s
  /// later.
  void SetLate(bool late);
  /// Announces that it is draining. Some time after the sidecar acknowledged
  /// that, and once no task runs, this incarnation ends and a new one starts.
  void Drain();
  /// While set, starts are reported as violations once the time allowed for an
  /// evacuation has passed.
  void SetZoneEvacuated(bool evacuated);

 private:
  class Impl;
  explicit Upstream(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::soak

#endif  // FILBERTWICK_SOAK_UPSTREAM_H_

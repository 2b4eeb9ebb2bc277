#ifndef FILBERTWICK_DAEMON_DAEMON_H_
#define FILBERTWICK_DAEMON_DAEMON_H_

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

#include "filbertwick/base/counters.h"
#include "filbertwick/base/log.h"
#include "filbertwick/daemon/settings.h"

namespace filbertwick::daemon {

/// Told once that a graceful stop has ended; `clean` is false when its
/// deadline passed with work unfinished. Called on a thread of the daemon.
using StoppedHook = std::function<void(bool clean)>;

/// One instance, entry or sidecar, on threads of its own: network, decisions,
/// platform log, and log and audit output. Several may run in one process.
class Daemon {
 public:
  /// Binds the ports and starts all threads. Unavailable when a port can't be
  /// bound, InvalidArgument for settings that no core takes.
  static absl::StatusOr<std::unique_ptr<Daemon>> Create(Settings settings,
                                                        LogSink sink,
                                                        StoppedHook stopped);
  /// Ends all threads at once, without a graceful stop.
  ~Daemon();

  /// The instance as its peers know it, with the ports that are bound.
  const wire::InstanceInfo& info() const;
  /// What it counts.
  Counters& counters();
  /// Its readiness, as `/readyz` tells it.
  bool ready() const;

  /// Begins a graceful stop: no longer ready, then the core ends its work
  /// within the deadline of the settings. May be called on any thread.
  void Stop();

 private:
  class Impl;
  explicit Daemon(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::daemon

#endif  // FILBERTWICK_DAEMON_DAEMON_H_

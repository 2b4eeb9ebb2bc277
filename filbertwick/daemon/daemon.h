#ifndef FILBERTWICK_DAEMON_DAEMON_H_
#define FILBERTWICK_DAEMON_DAEMON_H_

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

#include "filbertwick/base/counters.h"
#include "filbertwick/base/log.h"
#include "filbertwick/daemon/settings.h"

namespace filbertwick::daemon {

/// Called once, on a thread of the daemon, when a graceful stop has ended.
/// `clean` is false when the stop deadline passed with work unfinished.
using StoppedHook = std::function<void(bool clean)>;

/// One instance, entry or sidecar, with four threads of its own. Several
/// daemons may run in one process.
///
/// The decision thread alone runs the core, a deterministic state machine. The
/// network thread (callers or upstream, and peers) and the platform thread (log
/// client) queue events for it. The decision thread passes the effects of an
/// event on: messages, responses and executions to the network thread, appends
/// to the platform thread, log and audit lines to the output thread. The input
/// queues of the decision, network and output threads are bounded. When the
/// core's queue is full, the network thread refuses new requests and drops
/// messages from peers. Events that must reach the core (a caller has
/// disconnected, the upstream has changed, an execution has ended) are kept and
/// retried.
class Daemon {
 public:
  /// Binds the ports and starts all threads. Returns Unavailable when a port
  /// can't be bound, InvalidArgument when the core rejects the settings.
  static absl::StatusOr<std::unique_ptr<Daemon>> Create(Settings settings,
                                                        LogSink sink,
                                                        StoppedHook stopped);
  /// Ends all threads immediately, without a graceful stop.
  ~Daemon();

  /// The instance as advertised to its peers, with the bound ports.
  const wire::InstanceInfo& info() const;
  /// Counters of this instance.
  Counters& counters();
  /// Readiness, as `/readyz` reports it.
  bool ready() const;

  /// Begins a graceful stop: ready() becomes false at once, and the core ends
  /// its work within Settings::stop_deadline. May be called on any thread;
  /// later calls have no effect.
  void Stop();

 private:
  class Impl;
  explicit Daemon(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::daemon

#endif  // FILBERTWICK_DAEMON_DAEMON_H_

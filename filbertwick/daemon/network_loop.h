#ifndef FILBERTWICK_DAEMON_NETWORK_LOOP_H_
#define FILBERTWICK_DAEMON_NETWORK_LOOP_H_

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "filbertwick/base/counters.h"
#include "filbertwick/core/effect.h"
#include "filbertwick/daemon/decision_loop.h"
#include "filbertwick/daemon/settings.h"
#include "filbertwick/net/status_endpoints.h"

namespace filbertwick::daemon {

/// A peer and its address; precedes the first SendEffect to this incarnation.
struct PeerUpdate {
  wire::InstanceInfo info;
};

/// A view of the core for the status page that requested it.
struct ViewAnswer {
  net::ViewHook hook;
  net::InstanceView view;
};

/// What the decision thread passes to the network thread.
using NetworkInput = std::variant<core::SendEffect,
                                  core::AnswerEffect,
                                  core::OperatorAnswerEffect,
                                  core::StartExecutionEffect,
                                  core::StopExecutionEffect,
                                  PeerUpdate,
                                  ViewAnswer>;

/// Inputs in the order in which they take effect.
using NetworkInputs = std::vector<NetworkInput>;

/// Functions through which the network loop reaches the rest of the daemon.
/// Called on the network thread unless stated otherwise.
struct NetworkHooks {
  /// Queues an input for the core; returns false and leaves it unchanged when
  /// the queue is full or closed.
  std::function<bool(DecisionInput&)> try_push;
  /// The text of the core's current bundle; called on the decision thread.
  std::function<std::string()> bundle_text;
  /// Readiness for `/readyz`; false makes the load balancer send new requests
  /// to other instances.
  std::function<bool()> ready;
  /// Audit lines of records at this offset and later.
  std::function<std::vector<core::AuditEffect>(wire::LogOffset)> read_audit;
  /// Writes a line to the process's log.
  std::function<void(std::string)> log;
};

/// All sockets of an instance except those to the platform's log, on one
/// thread: callers or the upstream over HTTP, peers over UDP and TCP.
class NetworkLoop {
 public:
  /// Binds every port; returns Unavailable when one can't be bound. Nothing is
  /// received before Start(). `counters` must outlive the loop.
  static absl::StatusOr<std::unique_ptr<NetworkLoop>>
  Create(const Settings& settings, Counters& counters, NetworkHooks hooks);
  /// Closes all sockets.
  ~NetworkLoop();

  /// The instance as advertised to its peers, with the bound ports.
  const wire::InstanceInfo& info() const;

  /// Starts the thread.
  void Start();
  /// Ends the thread; later calls of Push() have no effect.
  void Stop();
  /// Queues inputs for the network thread, waiting while the queue is full;
  /// called on the decision thread.
  void Push(NetworkInputs inputs);
  /// Stops accepting connections, waits at most `limit` until no connection,
  /// caller's request or execution is open, then calls `done` on the network
  /// thread.
  void Drain(Duration limit, std::function<void()> done);

 private:
  class Impl;
  explicit NetworkLoop(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::daemon

#endif  // FILBERTWICK_DAEMON_NETWORK_LOOP_H_

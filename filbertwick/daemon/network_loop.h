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
#include "filbertwick/net/status_pages.h"

namespace filbertwick::daemon {

/// An instance that SendEffects may name, with its address.
struct PeerUpdate {
  wire::InstanceInfo info;
};

/// A view of the core for the page that asked for it.
struct ViewAnswer {
  net::ViewHook hook;
  net::InstanceView view;
};

/// What the core's thread hands to the network.
using NetworkInput = std::variant<core::SendEffect,
                                  core::AnswerEffect,
                                  core::OperatorAnswerEffect,
                                  core::StartExecutionEffect,
                                  core::StopExecutionEffect,
                                  PeerUpdate,
                                  ViewAnswer>;

/// Inputs in the order in which they take effect.
using NetworkInputs = std::vector<NetworkInput>;

/// What the network asks of other threads; called on the network thread.
struct NetworkHooks {
  /// Gives an input to the core, or returns false and leaves it.
  std::function<bool(DecisionInput&)> offer;
  /// The bundle's text as the core knows it; called on the core's thread.
  std::function<std::string()> bundle_text;
  /// False makes the balancer send new requests elsewhere.
  std::function<bool()> ready;
  std::function<std::vector<core::AuditEffect>(wire::LogOffset)> read_audit;
  std::function<void(std::string)> log;
};

/// All sockets of a process but those to the platform, on one thread: callers
/// or the upstream over HTTP, peers over UDP and TCP.
class NetworkLoop {
 public:
  /// Binds every port; Unavailable when one can't be bound. Nothing is
  /// received before Start(). `counters` must outlive it.
  static absl::StatusOr<std::unique_ptr<NetworkLoop>>
  Create(const Settings& settings, Counters& counters, NetworkHooks hooks);
  /// Closes all sockets.
  ~NetworkLoop();

  /// The instance as peers shall know it, with the ports that are bound.
  const wire::InstanceInfo& info() const;

  /// Starts the thread.
  void Start();
  /// Ends the thread; later pushes are ignored.
  void Stop();
  /// Hands inputs over and waits for room; called on the core's thread.
  void Push(NetworkInputs inputs);
  /// Accepts no more callers, waits until open responses and messages to peers
  /// are sent, at most `limit`, then calls `done` on the network thread.
  void Drain(Duration limit, std::function<void()> done);

 private:
  class Impl;
  explicit NetworkLoop(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::daemon

#endif  // FILBERTWICK_DAEMON_NETWORK_LOOP_H_

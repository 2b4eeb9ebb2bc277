#ifndef FILBERTWICK_PLATFORM_NODE_H_
#define FILBERTWICK_PLATFORM_NODE_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "filbertwick/base/counters.h"
#include "filbertwick/base/log_line.h"
#include "filbertwick/core/policy/client_budget.h"
#include "filbertwick/platform/platform_settings.h"

namespace filbertwick::platform {

/// What the process provides to its node.
struct NodeContext {
  boost::asio::io_context& io;
  Counters& counters;
  std::function<void(const LogLine&)> log;
  /// Called once, when the graceful stop is complete or its time is over.
  std::function<void()> stopped;
  /// Bounds what the listeners of the process hold for clients. Set by
  /// StartNode().
  std::shared_ptr<core::policy::ClientBudget> client_budget = nullptr;
};

/// An entry or a sidecar on the platform. It connects a deterministic core
/// (DirectEntry or DirectSidecar) to the network:
/// - Callers send jobs to an entry over HTTP. The entry offers their tasks to
///   sidecars in datagrams and answers the caller when the job has ended.
/// - A sidecar starts offered tasks at the upstream on its machine over HTTP,
///   under a lease and a fencing token. The upstream announces itself to it.
/// - The platform's store publishes the configuration and the zones that are
///   out of service, and lists the instances. An instance that is behind the
///   store fetches the same state from an instance that is ahead.
/// Not thread-safe: all calls and callbacks run on the thread of
/// NodeContext::io.
class Node {
 public:
  virtual ~Node() = default;
  /// Begins a graceful stop; NodeContext::stopped is called at its end. Further
  /// calls have no effect.
  virtual void Stop() = 0;
  /// Applies the seeds of changed settings; the other fields need a restart.
  virtual void Reload(const PlatformSettings& settings) = 0;
};

/// Creates an entry and starts it; Unavailable when a port can't be bound.
absl::StatusOr<std::unique_ptr<Node>> CreateEntryNode(
    const PlatformSettings& settings,
    uint64_t incarnation,
    NodeContext context);
/// Creates a sidecar and starts it; Unavailable when a port can't be bound.
absl::StatusOr<std::unique_ptr<Node>> CreateSidecarNode(
    const PlatformSettings& settings,
    uint64_t incarnation,
    NodeContext context);

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_NODE_H_

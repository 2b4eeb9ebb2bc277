#ifndef FILBERTWICK_NET_UPSTREAM_API_H_
#define FILBERTWICK_NET_UPSTREAM_API_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "filbertwick/base/counters.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/effect.h"
#include "filbertwick/core/event.h"
#include "filbertwick/http/message.h"
#include "filbertwick/http/server.h"
#include "filbertwick/net/status_endpoints.h"

namespace filbertwick::net {

/// Limits of UpstreamApi.
struct UpstreamApiSettings {
  /// If the upstream sends no announcement for this long, the core is told that
  /// it has no slots.
  Duration announce_timeout = std::chrono::seconds(3);
  /// Maximum number of open connections to the upstream.
  size_t max_connections = 64;
};

/// Functions that UpstreamApi calls in the process that owns it. All of them
/// are called on the network thread.
struct UpstreamApiHooks {
  /// Queues an event for the core. If the queue is full, the event is kept and
  /// queued once there is room.
  std::function<void(core::Event)> post;
  RequestViewHook request_view;
  /// Result of `/readyz`.
  std::function<bool()> ready;
};

/// HTTP interface between a sidecar and the upstream beside it.
///
/// The upstream posts its address and state to `/v1/upstream` repeatedly. If no
/// announcement arrives for `announce_timeout`, the core is told that the
/// upstream has no slots.
/// The sidecar runs a task with a POST to the upstream. Status 200 means
/// kSucceeded, 503 with `X-Not-Run: 1` means kNotRun, and any other response or
/// a result that is too large means kRan. Without a response, the outcome is
/// kMayHaveRun if any byte of the request was sent, kNotRun otherwise. If a
/// request that was sent times out, a DELETE asks the upstream to stop the
/// task. Must be used on the network thread only.
class UpstreamApi {
 public:
  /// Creates an interface without an upstream, until the first announcement.
  /// `counters` must outlive it.
  static std::unique_ptr<UpstreamApi> Create(
      boost::asio::io_context& context,
      const UpstreamApiSettings& settings,
      Counters& counters,
      UpstreamApiHooks hooks);
  ~UpstreamApi();

  /// Handles one request. `respond` may be called after this returns.
  void Handle(const http::Request& request, const http::Responder& respond);

  /// Runs a task at the upstream. Its result is posted as ExecutionEndedEvent.
  void Start(core::StartExecutionEffect effect);
  /// Asks the upstream to stop a task. Its ExecutionEndedEvent is still posted.
  void Stop(const core::StopExecutionEffect& effect);

  /// Number of tasks whose call to the upstream is open.
  size_t running() const;

 private:
  class Impl;
  explicit UpstreamApi(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_UPSTREAM_API_H_

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
  /// An upstream that has sent no announcement for this long is considered
  /// gone.
  Duration announce_timeout = std::chrono::seconds(3);
  /// Maximum number of open connections to the upstream.
  size_t max_connections = 64;
};

/// Functions that UpstreamApi calls in the process that owns it. All of them
/// are called on the network thread.
struct UpstreamApiHooks {
  /// Queues an event for the core. The event is delivered even when the queue
  /// is full now, then with a delay.
  std::function<void(core::Event)> post;
  RequestViewHook request_view;
  std::function<bool()> ready;
};

/// HTTP interface between a sidecar and the upstream beside it.
///
/// The upstream posts its address and state to `/v1/upstream` repeatedly. If no
/// announcement arrives for `announce_timeout`, the core is told that the
/// upstream has no slots.
/// The sidecar runs a task with a POST to the upstream, whose response decides
/// the outcome: 200 succeeded, 503 with `X-Not-Run: 1` did not run, any other
/// response, or a result that is too large, ran without success. If the call
/// fails without a response, the task may have run if the request was sent, and
/// did not run otherwise. If the call times out after that, a DELETE asks the
/// upstream to stop the task. Must be used on the network thread only.
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

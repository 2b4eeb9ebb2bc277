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
#include "filbertwick/net/status_pages.h"

namespace filbertwick::net {

/// Limits of the interface to the upstream.
struct UpstreamApiSettings {
  /// An upstream that was silent for longer is gone.
  Duration announce_timeout = std::chrono::seconds(3);
  /// Connections open to the upstream at a time.
  size_t max_connections = 64;
};

/// What the interface to the upstream needs from its host. All hooks are
/// called on the network thread.
struct UpstreamApiHooks {
  /// Gives an event to the core for certain, perhaps later.
  std::function<void(core::Event)> post;
  AskView ask_view;
  std::function<bool()> ready;
};

/// The HTTP interface of a sidecar to the upstream beside it: hears its
/// announcements and runs tasks there. Used on the network thread only.
class UpstreamApi {
 public:
  /// An interface that knows of no upstream; `counters` must outlive it.
  static std::unique_ptr<UpstreamApi> Create(
      boost::asio::io_context& context,
      const UpstreamApiSettings& settings,
      Counters& counters,
      UpstreamApiHooks hooks);
  ~UpstreamApi();

  /// Handles one request; the response may be given later.
  void Handle(const http::Request& request, const http::Responder& respond);

  /// Runs a task at the upstream; its end is posted as ExecutionEndedEvent.
  void Start(core::StartExecutionEffect effect);
  /// Asks the upstream to stop a task; its end is still posted.
  void Stop(const core::StopExecutionEffect& effect);

  /// Tasks that run at the upstream.
  size_t running() const;

 private:
  class Impl;
  explicit UpstreamApi(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_UPSTREAM_API_H_

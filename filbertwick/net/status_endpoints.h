#ifndef FILBERTWICK_NET_STATUS_ENDPOINTS_H_
#define FILBERTWICK_NET_STATUS_ENDPOINTS_H_

#include <functional>
#include <memory>
#include <string>

#include "filbertwick/base/counters.h"
#include "filbertwick/core/core.h"
#include "filbertwick/http/message.h"
#include "filbertwick/http/server.h"
#include "filbertwick/http/target.h"

namespace filbertwick::net {

/// Snapshot of a core's status and its bundle.
struct InstanceView {
  core::CoreStatus status;
  /// Text of the current accepted bundle; empty before the first one.
  std::string bundle_text;
};

/// Receives a view on the network thread.
using ViewHook = std::function<void(InstanceView)>;

/// Requests a view from the core. Returns false, without calling the hook, if
/// the core's queue is full.
using RequestViewHook = std::function<bool(ViewHook)>;

/// HTTP endpoints that every instance serves: `/metrics`, `/healthz`,
/// `/readyz`, `/v1/status` and `/v1/bundle`.
class StatusEndpoints {
 public:
  /// `counters` must outlive this object. `ready` is called on the network
  /// thread.
  StatusEndpoints(const Counters& counters,
                  RequestViewHook request_view,
                  std::function<bool()> ready);

  /// Responds to a request for one of the endpoints, with 405 unless it is a
  /// GET. Returns false, without a response, for any other target.
  bool Handle(const http::Target& target,
              const std::string& method,
              const http::Responder& respond) const;

 private:
  const Counters& counters_;
  RequestViewHook request_view_;
  std::function<bool()> ready_;
};

/// Formats the status as JSON. Ages are in milliseconds; -1 means unknown.
std::string FormatStatus(const core::CoreStatus& status);

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_STATUS_ENDPOINTS_H_

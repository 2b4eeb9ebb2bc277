#ifndef FILBERTWICK_NET_CALLER_API_H_
#define FILBERTWICK_NET_CALLER_API_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "filbertwick/base/counters.h"
#include "filbertwick/core/effect.h"
#include "filbertwick/core/event.h"
#include "filbertwick/core/policy/client_budget.h"
#include "filbertwick/http/message.h"
#include "filbertwick/http/server.h"
#include "filbertwick/net/status_endpoints.h"

namespace filbertwick::net {

/// Functions that CallerApi calls in the process that owns it. All of them are
/// called on the network thread.
struct CallerApiHooks {
  /// Queues an event for the core. Returns false, and drops the event, when the
  /// queue is full.
  std::function<bool(core::Event)> offer;
  /// Queues an event for the core. If the queue is full, the event is kept and
  /// queued once there is room.
  std::function<void(core::Event)> post;
  RequestViewHook request_view;
  /// Result of `/readyz`. While it is false, a load balancer sends new requests
  /// to other entries.
  std::function<bool()> ready;
  /// Returns the audit lines at and after a log offset.
  std::function<std::vector<core::AuditEffect>(wire::LogOffset)> read_audit;
  /// Writes a line to the log of the process.
  std::function<void(std::string)> log;
  /// Reserves memory for a job; nullopt when there is no room. Without the hook
  /// there always is.
  std::function<std::optional<core::policy::ClientReservation>(size_t bytes)>
      reserve = nullptr;
};

/// HTTP interface of an entry, for callers and operators.
///
/// Each request for a job or a change becomes an event for the core and stays
/// open until the core answers it or its connection closes. StatusEndpoints
/// handles the status requests, and `/v1/audit` returns the audit lines that
/// CallerApiHooks::read_audit provides.
/// Must be used on the network thread only.
class CallerApi {
 public:
  /// Operator requests must carry `operator_token`; if it is empty, all of them
  /// are refused. `counters` must outlive the returned object.
  static std::unique_ptr<CallerApi> Create(std::string operator_token,
                                           Counters& counters,
                                           CallerApiHooks hooks);
  ~CallerApi();

  /// Handles one request. `respond` may be called after this returns.
  void Handle(const http::Request& request, const http::Responder& respond);
  /// Must be called when the connection of a request closes before its
  /// response. Posts a CallerGoneEvent if the request waits for the core.
  void OnDisconnected(uint64_t request_number);

  /// Sends the core's answer to the caller. Ignored if the caller has
  /// disconnected or was answered already.
  void Answer(const core::AnswerEffect& effect);
  /// Sends the core's answer to the operator. Ignored if the operator has
  /// disconnected or was answered already.
  void Answer(const core::OperatorAnswerEffect& effect);

  /// Number of requests that wait for the core's answer.
  size_t open_requests() const;

 private:
  class Impl;
  explicit CallerApi(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_CALLER_API_H_

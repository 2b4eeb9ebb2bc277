#ifndef FILBERTWICK_NET_CALLER_API_H_
#define FILBERTWICK_NET_CALLER_API_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "filbertwick/base/counters.h"
#include "filbertwick/core/effect.h"
#include "filbertwick/core/event.h"
#include "filbertwick/http/message.h"
#include "filbertwick/http/server.h"
#include "filbertwick/net/status_pages.h"

namespace filbertwick::net {

/// What the interface for callers needs from its host. All hooks are called on
/// the network thread.
struct CallerApiHooks {
  /// Gives an event to the core; false when it can't take more now.
  std::function<bool(core::Event)> offer;
  /// Gives an event to the core for certain, perhaps later.
  std::function<void(core::Event)> post;
  AskView ask_view;
  /// False makes the balancer send new requests elsewhere.
  std::function<bool()> ready;
  /// Audit lines from an offset on.
  std::function<std::vector<core::AuditEffect>(wire::LogOffset)> read_audit;
  /// Takes a line for the log.
  std::function<void(std::string)> log;
};

/// The HTTP interface of an entry, for callers and operators. Used on the
/// network thread only.
class CallerApi {
 public:
  /// An interface whose operator calls need `operator_token`; an empty token
  /// refuses them all. `counters` must outlive it.
  static std::unique_ptr<CallerApi> Create(std::string operator_token,
                                           Counters& counters,
                                           CallerApiHooks hooks);
  ~CallerApi();

  /// Handles one request; the response may be given later.
  void Handle(const http::Request& request, const http::Responder& respond);
  /// The connection of a request went before its response.
  void OnGone(uint64_t request_number);

  /// The core's answer to a caller; ignored when the caller has gone.
  void Answer(const core::AnswerEffect& effect);
  /// The core's answer to an operator; ignored when the operator has gone.
  void Answer(const core::OperatorAnswerEffect& effect);

  /// Requests that wait for the core's answer.
  size_t open_requests() const;

 private:
  class Impl;
  explicit CallerApi(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_CALLER_API_H_

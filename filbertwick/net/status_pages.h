#ifndef FILBERTWICK_NET_STATUS_PAGES_H_
#define FILBERTWICK_NET_STATUS_PAGES_H_

#include <functional>
#include <memory>
#include <string>

#include "filbertwick/base/counters.h"
#include "filbertwick/core/core.h"
#include "filbertwick/http/message.h"
#include "filbertwick/http/server.h"
#include "filbertwick/http/target.h"

namespace filbertwick::net {

/// What a core shows of itself, with its bundle.
struct InstanceView {
  core::CoreStatus status;
  /// The accepted bundle as it was published; empty before the first.
  std::string bundle_text;
};

/// Takes a view on the network thread.
using ViewHook = std::function<void(InstanceView)>;

/// Asks the core for a view; false when it can't take the question now.
using AskView = std::function<bool(ViewHook)>;

/// The pages that every instance serves: `/metrics`, `/healthz`, `/readyz`,
/// `/v1/status` and `/v1/bundle`.
class StatusEndpoints {
 public:
  /// Pages over `counters`, which must outlive them; `ready` is asked on the
  /// network thread.
  StatusEndpoints(const Counters& counters,
                  AskView ask_view,
                  std::function<bool()> ready);

  /// Answers a GET of one of the pages; false when the target is none.
  bool Handle(const http::Target& target,
              const std::string& method,
              const http::Responder& respond) const;

 private:
  const Counters& counters_;
  AskView ask_view_;
  std::function<bool()> ready_;
};

/// The status as JSON; ages in milliseconds, -1 for none.
std::string FormatStatus(const core::CoreStatus& status);

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_STATUS_PAGES_H_

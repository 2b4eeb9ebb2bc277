#ifndef FILBERTWICK_TOOL_DEMO_DEMO_DEPLOYMENT_H_
#define FILBERTWICK_TOOL_DEMO_DEMO_DEPLOYMENT_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/http/client.h"
#include "filbertwick/standin/start_counts.h"

namespace filbertwick::tool {

/// Token that the demo's entries take from operators.
inline constexpr std::string_view kDemoToken = "demo-operator-token";

/// A whole deployment in one process, over loopback sockets: the log stand-in,
/// two entries, three zones with two sidecars and executors each.
class DemoDeployment {
 public:
  /// Starts everything; Unavailable when a port can't be bound.
  static absl::StatusOr<std::unique_ptr<DemoDeployment>> Create();
  ~DemoDeployment();

  /// HTTP addresses of the entries.
  std::vector<http::ClientSettings> entries() const;
  /// True once every entry is ready for callers.
  bool ready() const;
  /// Tasks the executors started.
  const standin::StartCounts& starts() const;
  /// Messages that all instances sent to one another.
  uint64_t messages_sent() const;

  /// The bundle that the demo publishes.
  static std::string BundleText();

 private:
  class Impl;
  explicit DemoDeployment(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_DEMO_DEMO_DEPLOYMENT_H_

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

/// Operator token that the entries of the demo accept.
inline constexpr std::string_view kDemoToken = "demo-operator-token";

/// Complete deployment within one process, connected by loopback sockets: a
/// stand-in for the control log service, two entries, and three zones with two
/// sidecars each and one executor beside each sidecar.
class DemoDeployment {
 public:
  /// Starts all parts; returns Unavailable when a port can't be bound.
  static absl::StatusOr<std::unique_ptr<DemoDeployment>> Create();
  ~DemoDeployment();

  /// Returns the HTTP addresses of the entries.
  std::vector<http::ClientSettings> entries() const;
  /// True once every entry and every sidecar is ready.
  bool ready() const;
  /// Returns the number of starts of each task, over all executors.
  const standin::StartCounts& starts() const;
  /// Returns the number of messages that all instances sent to one another.
  uint64_t messages_sent() const;

  /// Returns the text of the bundle that the demo publishes.
  static std::string BundleText();

 private:
  class Impl;
  explicit DemoDeployment(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::tool

#endif  // FILBERTWICK_TOOL_DEMO_DEMO_DEPLOYMENT_H_

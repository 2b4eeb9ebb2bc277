#ifndef FILBERTWICK_CORE_DIRECT_CONFIGURATION_H_
#define FILBERTWICK_CORE_DIRECT_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/time.h"

namespace filbertwick::core::direct {

/// Maps callers' requests to a service: a request whose host equals `host` and
/// whose path starts with `path_prefix` is a job for `service`.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;
  /// 0 is the highest priority.
  uint32_t priority = 0;
  /// Every request is answered within this time.
  Duration time_limit{0};
  /// A job's target latency is this plus `stretch` times its expected run time.
  Duration target_latency{0};
  double stretch = 1;
  uint32_t max_attempts = 1;
  /// False when jobs of the route require a feature that is not implemented.
  bool supported = true;
};

/// Limits on callers' HTTP requests.
struct RequestLimits {
  uint32_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 256 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// The routes and request limits in force.
struct Configuration {
  uint64_t version = 0;
  std::vector<Route> routes;
  RequestLimits limits;

  /// Returns the route of a request: the one with the same host and the longest
  /// matching path prefix. Returns null when no route matches.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /// Returns true when at least one route leads to the service.
  bool HasRouteTo(std::string_view service) const;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_CONFIGURATION_H_

#ifndef FILBERTWICK_CORE_DIRECT_CONFIGURATION_H_
#define FILBERTWICK_CORE_DIRECT_CONFIGURATION_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/time.h"

namespace filbertwick::core::direct {

/// Callers' requests whose host and path begin so are jobs for one service.
struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::string service;
  /// 0 comes first.
  uint32_t priority = 0;
  /// A request gets its last word within this time.
  Duration time_limit{0};
  /// Added to `stretch` times the expected run time: the target of a job.
  Duration target_latency{0};
  double stretch = 1;
  uint32_t max_attempts = 1;
  /// Its jobs need something that this product can't do yet.
  bool supported = true;
};

/// Limits on callers' requests.
struct RequestLimits {
  uint32_t max_header_bytes = 16 * 1024;
  size_t max_body_bytes = 256 * 1024;
  Duration header_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
};

/// The configuration in force.
struct Configuration {
  uint64_t version = 0;
  std::vector<Route> routes;
  RequestLimits limits;

  /// The route of a request: equal host, longest prefix; null when there is
  /// none.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  /// True when a route leads to the service.
  bool HasRouteTo(std::string_view service) const;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_CONFIGURATION_H_

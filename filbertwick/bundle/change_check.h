#ifndef FILBERTWICK_BUNDLE_CHANGE_CHECK_H_
#define FILBERTWICK_BUNDLE_CHANGE_CHECK_H_

#include <cstdint>
#include <set>
#include <string_view>
#include <vector>

#include "filbertwick/base/finding.h"
#include "filbertwick/base/name.h"
#include "filbertwick/bundle/bundle.h"
#include "filbertwick/bundle/bundle_parser.h"

namespace filbertwick::bundle {

/// An upstream in the running deployment.
struct LiveUpstream {
  /// Name of the sidecar beside the upstream.
  InstanceName name;
  ServiceName service;
  /// Empty if unknown; the upstream then passes every zone check.
  ZoneName zone;
  /// Number of tasks that it currently runs.
  uint32_t running = 0;
};

/// State of the running deployment against which a change is checked. Empty if
/// only the two bundles are compared.
struct LiveState {
  /// Zones that operators have declared out.
  std::set<ZoneName> zones_out;
  std::vector<LiveUpstream> upstreams;
};

/// Thresholds above which a change causes a warning.
struct ChangeLimits {
  /// Largest fraction, 0 to 1, by which a limit may be cut without a warning.
  double max_cut_fraction = 0.5;
};

/// Parses the bundle `text` like ParseBundle() and checks the change to it from
/// the bundle `in_force`. Errors:
/// - a version that is not higher
/// - a lower generation
///
/// Warnings:
/// - a service whose zones are all out
/// - a removed zone, service, team or upstream
/// - a limit cut by more than `limits.max_cut_fraction`
/// - a service that becomes repeatable
/// - a raised generation
ParsedBundle CheckChange(const Bundle& in_force,
                         std::string_view file,
                         std::string_view text,
                         const LiveState& live = {},
                         const ChangeLimits& limits = {});

/// Returns the services whose zones are all in `zones_out`, so that no upstream
/// may run them.
std::vector<ServiceName> ServicesWithoutZone(
    const Bundle& bundle,
    const std::set<ZoneName>& zones_out);

}  // namespace filbertwick::bundle

#endif  // FILBERTWICK_BUNDLE_CHANGE_CHECK_H_

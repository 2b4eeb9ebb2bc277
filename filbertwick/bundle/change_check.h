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

/// An upstream that runs now, by the sidecar beside it.
struct LiveUpstream {
  InstanceName name;
  ServiceName service;
  ZoneName zone;
  /// Tasks it runs now.
  uint32_t running = 0;
};

/// What is known of the deployment while a change is checked; empty when the
/// files are all there is.
struct LiveState {
  std::set<ZoneName> zones_out;
  std::vector<LiveUpstream> upstreams;
};

/// Limits of a change.
struct ChangeLimits {
  /// A limit cut by more than this share is a warning.
  double max_cut_fraction = 0.5;
};

/// Reads the bundle `text` like ParseBundle() and checks the step to it from
/// `in_force`. Errors: a version that is not higher, a lower generation.
/// Warnings: a service left without a zone, removed zones, services, teams and
/// upstreams, a limit cut by more than the allowed share, a service that
/// becomes repeatable, a raised generation.
ParsedBundle CheckChange(const Bundle& in_force,
                         std::string_view file,
                         std::string_view text,
                         const LiveState& live = {},
                         const ChangeLimits& limits = {});

/// Services of the bundle whose zones are all among `zones_out`.
std::vector<ServiceName> ServicesWithoutZone(
    const Bundle& bundle,
    const std::set<ZoneName>& zones_out);

}  // namespace filbertwick::bundle

#endif  // FILBERTWICK_BUNDLE_CHANGE_CHECK_H_

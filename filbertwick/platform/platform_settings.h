#ifndef FILBERTWICK_PLATFORM_PLATFORM_SETTINGS_H_
#define FILBERTWICK_PLATFORM_PLATFORM_SETTINGS_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/entry_load.h"
#include "filbertwick/platform/client_limits.h"

namespace filbertwick::platform {

/// Environment variable with the path of the platform's settings file.
inline constexpr const char* kSettingsVariable = "FILBERTWICK_SETTINGS";

/// An IP address and a port.
struct Address {
  std::string host;
  uint16_t port = 0;
};

/// Settings that the platform gives to a process.
struct PlatformSettings {
  /// Name of this instance (`node` in the file).
  InstanceName name;
  /// IP address of the machine (`ip`).
  std::string host;
  ZoneName zone;
  /// True for an entry, false for a sidecar. `serves` in the file lists the
  /// roles of the process; `front` among them makes it an entry.
  bool is_entry = false;
  /// Listener for callers' requests (`listen`.`front`); entries only.
  Address caller_listener;
  /// Listener on which the load balancer polls whether this entry takes
  /// connections (`listen`.`ready`); entries only.
  Address readiness_listener;
  /// Listener for announcements of the upstream on this machine
  /// (`listen`.`control`); sidecars only. Not related to the control stream.
  Address announcement_listener;
  /// Address of the upstream's API (`app`); sidecars only.
  Address upstream_address;
  /// Port for traffic between instances, UDP and TCP: the first of
  /// `port-range`.
  uint16_t peer_port = 0;
  /// Hosts of some entries (`seeds`), to find the other instances through. Not
  /// all of them need exist. Elements of `seeds` that are not HOST:PORT are
  /// left out, and the ports are ignored: all instances use `peer_port`.
  std::vector<std::string> seeds;
  /// Address of the platform's store (`platform`.`address`).
  Address store_address;
  /// Number of partitions of a topic in the store (`platform`.`parts`).
  uint32_t store_partitions = 1;
  /// Time after which a caller whose connection broke submits its job again
  /// (`bounds`.`resend-ms`).
  Duration resend_after = std::chrono::milliseconds(1300);
  /// Time within which a published configuration has to be in force
  /// (`bounds`.`config-apply-ms`).
  Duration configuration_bound = std::chrono::milliseconds(2000);
  /// Time after an outage of the store, or of a path to it, within which this
  /// instance has to be up to date again (`bounds`.`stable-window-ms`).
  Duration outage_recovery_bound = std::chrono::milliseconds(3000);
  /// Longest lease that an upstream grants (`bounds`.`hold-max-ms`).
  Duration max_lease = std::chrono::milliseconds(1000);
  /// What this process may use, as far as the settings tell: the share
  /// (`limits`.`cpu-share`) of the cores (`limits`.`cores`), each 1 when only
  /// the other is given, and the bandwidth (`limits`.`link-mbps`).
  core::direct::EntryMeans means;
  /// What the platform lets this process use (`limits`).
  ProcessLimits limits;
  /// Time between SIGTERM and SIGKILL (`bounds`.`grace-s`).
  Duration stop_grace = std::chrono::seconds(6);
};

/// Parses the platform's settings file. InvalidArgument names the first field
/// that is missing or invalid; unknown fields are ignored.
absl::StatusOr<PlatformSettings> ParsePlatformSettings(std::string_view text);

/// Parses `HOST:PORT`; InvalidArgument for any other text.
absl::StatusOr<Address> ParseAddress(std::string_view text);

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_PLATFORM_SETTINGS_H_

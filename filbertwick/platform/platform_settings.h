#ifndef FILBERTWICK_PLATFORM_PLATFORM_SETTINGS_H_
#define FILBERTWICK_PLATFORM_PLATFORM_SETTINGS_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"

namespace filbertwick::platform {

/// Environment variable with the path of the platform's settings file.
inline constexpr const char* kSettingsVariable = "FILBERTWICK_SETTINGS";

/// An IP number and a port.
struct Address {
  std::string host;
  uint16_t port = 0;
};

/// What the platform tells a process of itself.
struct PlatformSettings {
  InstanceName name;
  /// IP number of the machine.
  std::string host;
  ZoneName zone;
  /// Takes callers' requests; otherwise it is a sidecar.
  bool is_entry = false;
  /// Where callers' requests arrive; entries only.
  Address callers;
  /// Where the balancer asks whether this entry takes connections.
  Address readiness;
  /// Where the upstream on this machine announces itself; sidecars only.
  Address announcements;
  /// Where the upstream takes orders; sidecars only.
  Address upstream;
  /// First port for traffic between instances, UDP and TCP.
  uint16_t peer_port = 0;
  /// Hosts of some entries, not all of which need be there.
  std::vector<std::string> seeds;
  /// The platform's store.
  Address store;
  /// After this a caller whose connection broke sends its job again.
  Duration resend_after = std::chrono::milliseconds(1300);
  /// Longest lease that an upstream grants.
  Duration max_lease = std::chrono::milliseconds(1000);
  /// Time between SIGTERM and SIGKILL.
  Duration stop_grace = std::chrono::seconds(6);
};

/// Reads the platform's settings file. InvalidArgument names the first field
/// that is missing or wrong; unknown fields are ignored.
absl::StatusOr<PlatformSettings> ParsePlatformSettings(std::string_view text);

/// Reads `HOST:PORT`; InvalidArgument for anything else.
absl::StatusOr<Address> ParseAddress(std::string_view text);

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_PLATFORM_SETTINGS_H_

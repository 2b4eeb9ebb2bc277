#ifndef FILBERTWICK_DAEMON_SETTINGS_H_
#define FILBERTWICK_DAEMON_SETTINGS_H_

#include <optional>
#include <string>
#include <string_view>

#include "filbertwick/base/finding.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/policy/policy_settings.h"
#include "filbertwick/core/settings.h"
#include "filbertwick/http/server.h"
#include "filbertwick/platform/log_client.h"

namespace filbertwick::daemon {

/// Size of the secret that the instances of a deployment share, in bytes.
inline constexpr size_t kPeerSecretBytes = 32;

/// Settings of one filbertwickd process. At each start the daemon fills in the
/// incarnation, the seeds, and the ports that the operating system chose.
struct Settings {
  /// Name, role, region, zone, address, service, and protocol timing.
  core::NodeSettings node;
  /// Scheduling policy; entries only.
  core::policy::PolicySettings policy;
  /// Address and timeouts of the platform's log.
  platform::LogClientSettings log;
  /// HTTP server for callers (entries) or the upstream (sidecars).
  http::ServerSettings http;
  /// Key of kPeerSecretBytes bytes that authenticates messages between
  /// instances.
  std::string peer_secret;
  /// Bearer token that authorizes operators; entries only.
  std::string operator_token;
  /// Longest duration of a graceful stop.
  Duration stop_deadline = std::chrono::seconds(30);
  /// Time without an announcement of the upstream (a POST to `/v1/upstream`)
  /// after which its sidecar considers it gone.
  Duration announce_timeout = std::chrono::seconds(3);
};

/// Result of reading settings; `settings` is set only when no finding is an
/// error.
struct ParsedSettings {
  std::optional<Settings> settings;
  Findings findings;
};

/// Reads settings from JSON with comments and checks every field; all findings
/// are reported, not just the first. `file` is the name used in findings. Paths
/// in the settings are relative to its folder.
ParsedSettings ParseSettings(std::string_view file, std::string_view text);

/// Reads a settings file. An unreadable file is reported as a finding.
ParsedSettings LoadSettings(const std::string& file);

}  // namespace filbertwick::daemon

#endif  // FILBERTWICK_DAEMON_SETTINGS_H_

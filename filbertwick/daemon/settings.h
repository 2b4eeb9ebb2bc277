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

/// Bytes of the secret that the instances of a deployment share.
inline constexpr size_t kPeerSecretBytes = 32;

/// Everything one filbertwickd is told of itself. The host adds what is new at
/// each start: incarnation, seeds, and ports that the system chose.
struct Settings {
  /// Name, role, region, zone, address and service; times of the protocol.
  core::NodeSettings node;
  /// Policy of an entry.
  core::policy::PolicySettings policy;
  /// Where the platform's log is.
  platform::LogClientSettings log;
  /// Server for callers (entries) or the upstream (sidecars).
  http::ServerSettings http;
  /// kPeerSecretBytes bytes that authenticate messages between instances.
  std::string peer_secret;
  /// What operators show to steer; entries only.
  std::string operator_token;
  /// How long a graceful stop may take.
  Duration stop_deadline = std::chrono::seconds(30);
  /// Silence after which a sidecar drops its upstream.
  Duration announce_timeout = std::chrono::seconds(3);
};

/// Outcome of reading settings: there when no finding is an error.
struct ParsedSettings {
  std::optional<Settings> settings;
  Findings findings;
};

/// Reads settings from JSON with comments and checks every field. All findings
/// come together; `file` is the name they carry, and the files it names are
/// looked up from its folder.
ParsedSettings ParseSettings(std::string_view file, std::string_view text);

/// Reads a settings file; one that can't be read is a finding.
ParsedSettings LoadSettings(const std::string& file);

}  // namespace filbertwick::daemon

#endif  // FILBERTWICK_DAEMON_SETTINGS_H_

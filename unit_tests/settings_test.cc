#include <criterion/criterion.h>

#include <array>
#include <string>

#include "filbertwick/daemon/settings.h"

namespace {

using filbertwick::FormatFindings;
using filbertwick::daemon::LoadSettings;
using filbertwick::daemon::ParsedSettings;
using filbertwick::daemon::ParseSettings;
using filbertwick::daemon::Settings;
using filbertwick::wire::Role;

constexpr std::string_view kEntrySettings = R"({
  "role": "entry", "name": "entry-1", "region": "north", "zone": "a",
  "listen": {"host": "127.0.0.1", "udp_port": 7001, "tcp_port": 7002},
  "log": {"host": "10.0.0.9", "port": 8080},  // the platform's
  "peer_secret":
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f",
  "operator_token": "0123456789abcdef",
  "stop_deadline_ms": 5000,
  "timing": {"evidence_age_ms": 600, "probe_interval_ms": 150},
  "policy": {"sharing_entries": 2},
  "http": {"max_connections": 100}
})";

std::string EntrySettingsWith(std::string_view from, std::string_view to) {
  std::string text(kEntrySettings);
  const size_t n = text.find(from);
  cr_assert(n != std::string::npos);
  return text.replace(n, from.size(), to);
}

Test(settings, entry_settings_are_read) {
  const ParsedSettings parsed = ParseSettings("f", kEntrySettings);
  cr_assert(parsed.settings, "%s", FormatFindings(parsed.findings).c_str());
  const Settings& settings = *parsed.settings;
  cr_expect(settings.node.info.role == Role::kEntry);
  cr_expect(settings.node.info.address.udp_port == 7001);
  cr_expect(settings.http.host == "127.0.0.1" && settings.http.port == 0);
  cr_expect(settings.http.max_connections == 100);
  cr_expect(settings.log.port == 8080 && settings.log.stream == "control");
  cr_expect(settings.peer_secret.size() == 32 && settings.peer_secret[9] == 9);
  cr_expect(settings.stop_deadline == std::chrono::seconds(5));
  cr_expect(settings.node.timing.evidence_age ==
            std::chrono::milliseconds(600));
  cr_expect(settings.policy.sharing_entries == 2);
  cr_expect(settings.policy.own_zone.value() == "a");
}

Test(settings, every_field_is_checked) {
  struct Case {
    const char* from;
    const char* to;
    const char* finding;
  };
  const std::array<Case, 13> cases = {{
      {"\"entry\"", "\"boss\"",
       "f:2: /role: must be one of \"entry\", \"sidecar\"\n"},
      {"\"entry-1\"", "\"\"",
       "f:2: /name: must be a name of 1 to 64 letters, digits, '.', '_' or "
       "'-'\n"},
      {"127.0.0.1", "0.0.0.0",
       "f:3: /listen/host: must be the IP address at which others reach it, "
       "such as 10.0.0.5\n"},
      {"\"udp_port\": 7001", "\"udp_port\": 70010",
       "f:3: /listen/udp_port: must be a whole number, 0 to 65535\n"},
      {"8080", "0", "f:4: /log/port: must be a whole number, 1 to 65535\n"},
      {"8080", "8080, \"timeout_ms\": 2000",
       "f:4: /log/timeout_ms: timeout_ms must be longer than poll_ms\n"},
      {"000102", "0001", "f:6: /peer_secret: must be 64 hexadecimal digits\n"},
      {"\"operator_token\": \"0123456789abcdef\",", "",
       "f:1: /: exactly one of \"operator_token\" and \"operator_token_file\" "
       "is required\n"},
      {"0123456789abcdef\",", "short\",",
       "f:7: /operator_token: must be a string of 16 to 256 bytes\n"},
      {"\"operator_token\": \"0123456789abcdef\"",
       "\"operator_token_file\": \"not-there\"",
       "f:7: /operator_token_file: the file not-there can't be read: No such "
       "file or directory\n"},
      {": 150", ": 301",
       "f:9: /timing/probe_interval_ms: probe_interval_ms must be at most half "
       "of "
       "evidence_age_ms\n"},
      {": 600", ": 800",
       "f:9: /timing: takeover_silence_ms must be longer than "
       "evidence_age_ms\n"},
      {"\"sharing_entries\": 2}", "\"entries\": 0}, \"service\": \"x\"",
       "f:10: /policy/entries: unknown field, allowed are max_waiting_tasks, "
       "sharing_entries\n"
       "f:10: /service: unknown field, allowed are http, listen, log, name, "
       "operator_token, operator_token_file, peer_secret, peer_secret_file, "
       "policy, region, role, stop_deadline_ms, timing, zone\n"},
  }};
  for (const Case& c : cases) {
    const ParsedSettings parsed =
        ParseSettings("f", EntrySettingsWith(c.from, c.to));
    const std::string findings = FormatFindings(parsed.findings);
    cr_expect(findings == c.finding, "%s gave %s", c.to, findings.c_str());
    cr_expect_not(parsed.settings);
  }
}

Test(settings, sidecar_settings_name_their_service) {
  std::string text =
      EntrySettingsWith("\"role\": \"entry\"", "\"role\": \"sidecar\"");
  text.replace(text.find("\"operator_token\": \"0123456789abcdef\""), 36,
               "\"service\": \"quote\", \"announce_timeout_ms\": 500");
  text.replace(text.find("\"policy\": {\"sharing_entries\": 2},"), 33, "");
  const ParsedSettings parsed = ParseSettings("f", text);
  cr_assert(parsed.settings, "%s", FormatFindings(parsed.findings).c_str());
  cr_expect(parsed.settings->node.info.service.value() == "quote");
  cr_expect(parsed.settings->announce_timeout ==
            std::chrono::milliseconds(500));
}

Test(settings, missing_file_is_a_finding) {
  const ParsedSettings parsed = LoadSettings("not/there.json");
  cr_expect_not(parsed.settings);
  cr_expect(FormatFindings(parsed.findings) ==
            "not/there.json:0: /: the file can't be read: No such file or "
            "directory\n");
}

}  // namespace

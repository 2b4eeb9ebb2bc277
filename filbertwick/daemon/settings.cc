#include "filbertwick/daemon/settings.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/algorithm/hex.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/ip/address.hpp>
#include <filesystem>
#include <iterator>
#include <utility>

#include "filbertwick/base/file.h"
#include "filbertwick/json/document.h"
#include "filbertwick/json/object_reader.h"

namespace filbertwick::daemon {
namespace {

using json::Node;
using json::ObjectReader;
using json::Range;

/// Port 0 lets the operating system choose.
constexpr Range kListenPorts = {0, 65'535};
constexpr Range kRemotePorts = {1, 65'535};
constexpr Range kHostBytes = {1, 64};
constexpr Range kPathBytes = {1, 4'096};
constexpr Range kTokenBytes = {16, 256};
constexpr Range kStopDeadlineMs = {100, 3'600'000};
constexpr Range kAnnounceTimeoutMs = {100, 600'000};
constexpr Range kTimingMs = {10, 60'000};
constexpr Range kWallClockSkewMs = {0, 600'000};
constexpr Range kClockRatePpm = {0, 100'000};
constexpr Range kCheckpointRecords = {10, 100'000};
constexpr Range kWaitingTasks = {1, 10'000'000};
constexpr Range kSharingEntries = {1, 1'000};
constexpr Range kBodyBytes = {1'024, 64 * 1'024 * 1'024};
constexpr Range kHttpTimeoutMs = {100, 600'000};
constexpr Range kHttpConnections = {1, 100'000};
/// From one body of the default limit to the memory of a large machine.
constexpr Range kHttpHeldBytes = {8 * 1024 * 1024, 64LL * 1024 * 1024 * 1024};
constexpr Range kLogTimesMs = {1, 60'000};

constexpr std::array<json::Choice<wire::Role>, 2> kRoles = {
    {{"entry", wire::Role::kEntry}, {"sidecar", wire::Role::kSidecar}}};

using StreamName = Name<struct StreamTag>;

bool IsHexPeerSecret(std::string_view text) {
  return text.size() == 2 * kPeerSecretBytes &&
         std::ranges::all_of(text, [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f') ||
                  (c >= 'A' && c <= 'F');
         });
}

/// Reads and checks the sections of one settings file.
class SettingsReader {
 public:
  SettingsReader(const json::Document& document, std::string_view file)
      : reader_(document.root()),
        folder_(std::filesystem::path(file).parent_path()) {}

  Settings Read() {
    ReadIdentity();
    ReadListen();
    ReadLog();
    ReadSecrets();
    settings_.stop_deadline = reader_.Milliseconds(
        "stop_deadline_ms", kStopDeadlineMs, settings_.stop_deadline);
    ReadTiming();
    ReadHttp();
    if (settings_.node.info.role == wire::Role::kEntry) {
      ReadEntrySettings();
    } else {
      ReadSidecarSettings();
    }
    reader_.Finish();
    return std::move(settings_);
  }

 private:
  void ReadIdentity() {
    wire::InstanceInfo& info = settings_.node.info;
    info.role = reader_.ReadChoice<wire::Role>("role", kRoles);
    info.name = reader_.ReadName<InstanceName>("name");
    info.region = reader_.ReadName<RegionName>("region");
    info.zone = reader_.ReadName<ZoneName>("zone");
    settings_.policy.own_zone = info.zone;
  }

  void ReadListen() {
    auto reader = reader_.Object("listen");
    if (!reader) {
      return;
    }
    wire::InstanceAddress& address = settings_.node.info.address;
    address.host = ReadHost(*reader);
    address.udp_port = reader->Integer<uint16_t>("udp_port", kListenPorts, 0);
    address.tcp_port = reader->Integer<uint16_t>("tcp_port", kListenPorts, 0);
    address.http_port = reader->Integer<uint16_t>("http_port", kListenPorts, 0);
    if (address.tcp_port != 0 && address.tcp_port == address.http_port) {
      reader->At("http_port").Report("http_port must differ from tcp_port");
    }
    settings_.http.host = address.host;
    settings_.http.port = address.http_port;
    reader->Finish();
  }

  /// Reads an IP address at which other processes reach the host. A wildcard
  /// address is rejected, because no process can connect to it.
  static std::string ReadHost(ObjectReader& reader) {
    std::string host = reader.String("host", kHostBytes);
    boost::system::error_code ec;
    const auto address = boost::asio::ip::make_address(host, ec);
    if (!host.empty() && (ec || address.is_unspecified())) {
      reader.At("host").Report(
          "must be the IP address at which others reach it, such as 10.0.0.5");
    }
    return host;
  }

  void ReadLog() {
    auto reader = reader_.Object("log");
    if (!reader) {
      return;
    }
    platform::LogClientSettings& log = settings_.log;
    log.host = ReadHost(*reader);
    log.port = reader->Integer<uint16_t>("port", kRemotePorts);
    log.stream =
        reader->ReadName<StreamName>("stream", StreamName(log.stream)).value();
    log.poll = reader->Milliseconds("poll_ms", kLogTimesMs, log.poll);
    log.timeout = reader->Milliseconds("timeout_ms", kLogTimesMs, log.timeout);
    log.retry_min =
        reader->Milliseconds("retry_min_ms", kLogTimesMs, log.retry_min);
    log.retry_max =
        reader->Milliseconds("retry_max_ms", kLogTimesMs, log.retry_max);
    if (log.timeout <= log.poll) {
      reader->At("timeout_ms").Report("timeout_ms must be longer than poll_ms");
    }
    if (log.retry_max < log.retry_min) {
      reader->At("retry_max_ms")
          .Report("retry_max_ms must be at least retry_min_ms");
    }
    reader->Finish();
  }

  void ReadSecrets() {
    const std::string secret =
        ReadSecret("peer_secret", "peer_secret_file", {1, 1'024});
    if (secret.empty()) {
      return;
    }
    if (!IsHexPeerSecret(secret)) {
      SecretNode("peer_secret", "peer_secret_file")
          .Report(fmt::format("must be {} hexadecimal digits",
                              2 * kPeerSecretBytes));
      return;
    }
    boost::algorithm::unhex(secret, std::back_inserter(settings_.peer_secret));
  }

  Node SecretNode(std::string_view field, std::string_view file_field) const {
    return reader_.At(reader_.Has(field) ? field : file_field);
  }

  /// Reads a secret from `field` or from the file that `file_field` names. An
  /// invalid secret is reported, and the result is empty.
  std::string ReadSecret(std::string_view field,
                         std::string_view file_field,
                         Range bytes) {
    if (reader_.Has(field) == reader_.Has(file_field)) {
      reader_.String(field, {}, "");
      reader_.String(file_field, {}, "");
      reader_.node().Report(fmt::format(
          "exactly one of \"{}\" and \"{}\" is required", field, file_field));
      return "";
    }
    std::string secret = reader_.String(field, bytes, "");
    const std::string path = reader_.String(file_field, kPathBytes, "");
    if (path.empty()) {
      return secret;
    }
    const auto text = ReadFile((folder_ / path).string());
    if (!text.ok()) {
      reader_.At(file_field)
          .Report(fmt::format("the file {} {}", path,
                              std::string(text.status().message())));
      return "";
    }
    secret = boost::algorithm::trim_copy(*text);
    if (secret.size() < bytes.min || secret.size() > bytes.max) {
      reader_.At(file_field)
          .Report(fmt::format("the file {} must hold {} to {} bytes", path,
                              bytes.min, bytes.max));
      return "";
    }
    return secret;
  }

  void ReadTiming() {
    auto reader = reader_.Object("timing", json::Presence::kOptional);
    if (!reader) {
      return;
    }
    core::TimingSettings& timing = settings_.node.timing;
    timing.evidence_age =
        reader->Milliseconds("evidence_age_ms", kTimingMs, timing.evidence_age);
    timing.probe_interval = reader->Milliseconds("probe_interval_ms", kTimingMs,
                                                 timing.probe_interval);
    timing.takeover_silence = reader->Milliseconds(
        "takeover_silence_ms", kTimingMs, timing.takeover_silence);
    timing.takeover_stagger = reader->Milliseconds(
        "takeover_stagger_ms", kTimingMs, timing.takeover_stagger);
    timing.clock_rate_ppm = reader->Integer<uint32_t>(
        "clock_rate_ppm", kClockRatePpm, timing.clock_rate_ppm);
    timing.wall_clock_skew = reader->Milliseconds(
        "wall_clock_skew_ms", kWallClockSkewMs, timing.wall_clock_skew);
    timing.append_retry =
        reader->Milliseconds("append_retry_ms", kTimingMs, timing.append_retry);
    timing.checkpoint_records = reader->Integer<uint32_t>(
        "checkpoint_records", kCheckpointRecords, timing.checkpoint_records);
    CheckTiming(*reader);
    reader->Finish();
  }

  void CheckTiming(const ObjectReader& reader) const {
    const core::TimingSettings& timing = settings_.node.timing;
    if (timing.probe_interval * 2 > timing.evidence_age) {
      reader.At("probe_interval_ms")
          .Report("probe_interval_ms must be at most half of evidence_age_ms");
    }
    if (timing.takeover_silence <= timing.evidence_age) {
      reader.At("takeover_silence_ms")
          .Report("takeover_silence_ms must be longer than evidence_age_ms");
    }
  }

  void ReadHttp() {
    auto reader = reader_.Object("http", json::Presence::kOptional);
    if (!reader) {
      return;
    }
    http::ServerSettings& http = settings_.http;
    http.max_body_bytes = reader->Integer<size_t>("max_body_bytes", kBodyBytes,
                                                  http.max_body_bytes);
    http.read_timeout = reader->Milliseconds("read_timeout_ms", kHttpTimeoutMs,
                                             http.read_timeout);
    http.idle_timeout = reader->Milliseconds("idle_timeout_ms", kHttpTimeoutMs,
                                             http.idle_timeout);
    http.max_connections = reader->Integer<size_t>(
        "max_connections", kHttpConnections, http.max_connections);
    http.max_held_bytes = reader->Integer<size_t>(
        "max_held_bytes", kHttpHeldBytes, http.max_held_bytes);
    reader->Finish();
  }

  void ReadEntrySettings() {
    settings_.operator_token =
        ReadSecret("operator_token", "operator_token_file", kTokenBytes);
    auto reader = reader_.Object("policy", json::Presence::kOptional);
    if (!reader) {
      return;
    }
    core::policy::PolicySettings& policy = settings_.policy;
    policy.max_waiting_tasks = reader->Integer<uint64_t>(
        "max_waiting_tasks", kWaitingTasks, policy.max_waiting_tasks);
    policy.sharing_entries = reader->Integer<uint32_t>(
        "sharing_entries", kSharingEntries, policy.sharing_entries);
    reader->Finish();
  }

  void ReadSidecarSettings() {
    settings_.node.info.service = reader_.ReadName<ServiceName>("service");
    settings_.announce_timeout = reader_.Milliseconds(
        "announce_timeout_ms", kAnnounceTimeoutMs, settings_.announce_timeout);
  }

  ObjectReader reader_;
  std::filesystem::path folder_;
  Settings settings_;
};

}  // namespace

ParsedSettings ParseSettings(std::string_view file, std::string_view text) {
  const auto document =
      json::Document::Parse(file, text, json::Comments::kAllowed);
  ParsedSettings parsed;
  if (document.parsed()) {
    Settings settings = SettingsReader(document, file).Read();
    if (document.ok()) {
      parsed.settings = std::move(settings);
    }
  }
  parsed.findings = document.findings();
  return parsed;
}

ParsedSettings LoadSettings(const std::string& file) {
  const auto text = ReadFile(file);
  if (!text.ok()) {
    return {std::nullopt,
            {{Severity::kError, file, 0, "/",
              "the file " + std::string(text.status().message())}}};
  }
  return ParseSettings(file, *text);
}

}  // namespace filbertwick::daemon

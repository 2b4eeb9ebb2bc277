#include "filbertwick/tool/entry_responses.h"

#include <absl/status/status.h>

#include <chrono>
#include <utility>

#include "filbertwick/base/finding.h"
#include "filbertwick/json/document.h"
#include "filbertwick/json/object_reader.h"

namespace filbertwick::tool {
namespace {

using json::Document;
using json::Node;
using json::ObjectReader;

constexpr json::Range kAnyBytes = {};
constexpr json::Range kAnySize = {};
/// Largest valid age in a status response, in milliseconds; about 32 years. A
/// greater age would say no more than no age at all.
constexpr double kMaxAgeMillis = 1e12;

absl::Status MalformedResponseError(const Document& document) {
  return absl::InternalError("malformed response: " +
                             FormatFindings(document.findings()));
}

Document ParseBody(std::string_view body) {
  return Document::Parse("answer", body, json::Comments::kForbidden);
}

/// Parses an age in milliseconds; a negative one means that there is none.
Duration ParseAge(ObjectReader& reader, std::string_view name) {
  const double millis = reader.Number(name, -1, kMaxAgeMillis);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(millis));
}

wire::InstanceInfo ParseInstanceInfo(ObjectReader& reader) {
  wire::InstanceInfo info;
  info.name = InstanceName(reader.String("name", kAnyBytes));
  info.role = reader.String("role", kAnyBytes) == "sidecar"
                  ? wire::Role::kSidecar
                  : wire::Role::kEntry;
  info.region = RegionName(reader.String("region", kAnyBytes, ""));
  info.zone = ZoneName(reader.String("zone", kAnyBytes, ""));
  info.service = ServiceName(reader.String("service", kAnyBytes, ""));
  return info;
}

core::PeerStatus ParsePeer(const Node& node) {
  ObjectReader reader(node);
  core::PeerStatus peer;
  peer.info = ParseInstanceInfo(reader);
  peer.offset = reader.Integer<uint64_t>("offset", {});
  peer.age = ParseAge(reader, "age_ms");
  peer.is_voter = reader.Boolean("vouches", false);
  peer.load.slots = reader.Integer<uint32_t>("slots", {}, 0);
  peer.load.running = reader.Integer<uint32_t>("running", {}, 0);
  peer.load.queued = reader.Integer<uint32_t>("queued", {}, 0);
  peer.ejected = reader.Boolean("ejected", false);
  return peer;
}

core::ZoneStatus ParseZone(const Node& node) {
  ObjectReader reader(node);
  core::ZoneStatus zone;
  zone.zone = ZoneName(reader.String("name", kAnyBytes));
  zone.region = RegionName(reader.String("region", kAnyBytes, ""));
  zone.out = reader.Boolean("out");
  zone.certainly_out = reader.Boolean("certainly_out");
  zone.running = reader.Integer<uint32_t>("running", {}, 0);
  return zone;
}

core::AuditEffect ParseAuditLine(const Node& node) {
  ObjectReader reader(node);
  core::AuditEffect line;
  line.offset = reader.Integer<uint64_t>("offset", {});
  line.written.unix_millis = reader.Integer<int64_t>("unix_ms", {}, 0);
  line.author = AuthorName(reader.String("author", kAnyBytes, ""));
  line.change = ChangeId(reader.String("change", kAnyBytes, ""));
  line.what = reader.String("what", kAnyBytes);
  line.accepted = reader.Boolean("accepted");
  line.why = reader.String("why", kAnyBytes, "");
  return line;
}

}  // namespace

absl::StatusOr<core::CoreStatus> ParseStatusResponse(std::string_view body) {
  const Document document = ParseBody(body);
  if (!document.parsed()) {
    return MalformedResponseError(document);
  }
  ObjectReader reader(document.root());
  core::CoreStatus status;
  status.info = ParseInstanceInfo(reader);
  status.offset = reader.Integer<uint64_t>("offset", {});
  status.bundle_version = reader.Integer<uint64_t>("bundle_version", {});
  status.generation = reader.Integer<uint32_t>("generation", {}, 0);
  status.evidence_age = ParseAge(reader, "evidence_age_ms");
  status.ready = reader.Boolean("ready", false);
  status.stopping = reader.Boolean("stopping", false);
  status.shards_owned = reader.Integer<uint32_t>("shards_owned", {}, 0);
  status.shards_serving = reader.Integer<uint32_t>("shards_serving", {}, 0);
  status.jobs_running = reader.Integer<uint64_t>("jobs_running", {}, 0);
  status.tasks_waiting = reader.Integer<uint64_t>("tasks_waiting", {}, 0);
  for (const Node& node : reader.Array("peers", kAnySize)) {
    status.peers.push_back(ParsePeer(node));
  }
  for (const Node& node : reader.Array("zones", kAnySize)) {
    status.zones.push_back(ParseZone(node));
  }
  if (!document.ok()) {
    return MalformedResponseError(document);
  }
  return status;
}

absl::StatusOr<BundleResponse> ParseBundleResponse(std::string_view body) {
  const Document document = ParseBody(body);
  if (!document.parsed()) {
    return MalformedResponseError(document);
  }
  ObjectReader reader(document.root());
  BundleResponse response;
  response.version = reader.Integer<uint64_t>("version", {});
  response.text = reader.String("text", kAnyBytes);
  if (!document.ok()) {
    return MalformedResponseError(document);
  }
  return response;
}

absl::StatusOr<ChangeResponse> ParseChangeResponse(std::string_view body) {
  const Document document = ParseBody(body);
  if (!document.parsed()) {
    return MalformedResponseError(document);
  }
  ObjectReader reader(document.root());
  ChangeResponse response;
  response.accepted = reader.Boolean("accepted");
  response.offset = reader.Integer<uint64_t>("offset", {}, 0);
  response.why = reader.String("why", kAnyBytes, "");
  if (!document.ok()) {
    return MalformedResponseError(document);
  }
  return response;
}

absl::StatusOr<std::vector<core::AuditEffect>> ParseAuditResponse(
    std::string_view body) {
  const Document document = ParseBody(body);
  if (!document.parsed()) {
    return MalformedResponseError(document);
  }
  ObjectReader reader(document.root());
  std::vector<core::AuditEffect> lines;
  for (const Node& node : reader.Array("lines", kAnySize)) {
    lines.push_back(ParseAuditLine(node));
  }
  if (!document.ok()) {
    return MalformedResponseError(document);
  }
  return lines;
}

absl::StatusOr<std::vector<std::string>> ParseExplanationResponse(
    std::string_view body) {
  const Document document = ParseBody(body);
  if (!document.parsed()) {
    return MalformedResponseError(document);
  }
  ObjectReader reader(document.root());
  auto lines = reader.Strings("explanation", kAnySize, kAnyBytes);
  if (!document.ok()) {
    return MalformedResponseError(document);
  }
  return lines;
}

absl::StatusOr<JobResult> ParseJobResponse(std::string_view body) {
  const Document document = ParseBody(body);
  if (!document.parsed()) {
    return MalformedResponseError(document);
  }
  ObjectReader reader(document.root());
  JobResult result;
  result.outcome = reader.String("outcome", kAnyBytes);
  result.reason = reader.String("reason", kAnyBytes, "");
  if (!document.ok()) {
    return MalformedResponseError(document);
  }
  return result;
}

std::string ExtractErrorText(std::string_view body) {
  const Document document = ParseBody(body);
  if (document.parsed()) {
    ObjectReader reader(document.root());
    for (const std::string_view name : {"error", "why", "reason"}) {
      if (reader.Has(name)) {
        return reader.String(name, kAnyBytes, "");
      }
    }
  }
  return std::string(body);
}

}  // namespace filbertwick::tool

#include "filbertwick/net/status_endpoints.h"

#include <chrono>
#include <string_view>
#include <utility>

#include "filbertwick/http/json_response.h"
#include "filbertwick/json/text_writer.h"
#include "filbertwick/net/json_response.h"

namespace filbertwick::net {
namespace {

int64_t AgeMillis(Duration age) {
  using std::chrono::milliseconds;
  return age < Duration(0)
             ? -1
             : std::chrono::duration_cast<milliseconds>(age).count();
}

std::string_view ToString(wire::Role role) {
  return role == wire::Role::kEntry ? "entry" : "sidecar";
}

void WriteInfo(const wire::InstanceInfo& info, json::TextWriter& writer) {
  writer.Member("name", info.name)
      .Member("incarnation", std::to_string(info.incarnation))
      .Member("role", ToString(info.role))
      .Member("region", info.region)
      .Member("zone", info.zone)
      .Member("service", info.service)
      .Member("host", info.address.host)
      .Member("http_port", info.address.http_port)
      .Member("udp_port", info.address.udp_port)
      .Member("tcp_port", info.address.tcp_port);
}

void WritePeer(const core::PeerStatus& peer, json::TextWriter& writer) {
  writer.BeginObject();
  WriteInfo(peer.info, writer);
  writer.Member("offset", peer.offset)
      .Member("age_ms", AgeMillis(peer.age))
      .Member("vouches", peer.is_voter)
      .Member("slots", peer.load.slots)
      .Member("running", peer.load.running)
      .Member("queued", peer.load.queued)
      .Member("ejected", peer.ejected)
      .EndObject();
}

void WriteZone(const core::ZoneStatus& zone, json::TextWriter& writer) {
  writer.BeginObject()
      .Member("name", zone.zone)
      .Member("region", zone.region)
      .Member("out", zone.out)
      .Member("certainly_out", zone.certainly_out)
      .Member("running", zone.running)
      .EndObject();
}

http::Response TextResponse(int status, std::string text) {
  http::Response response;
  response.status = status;
  response.headers.push_back({"Content-Type", "text/plain"});
  response.body = std::move(text);
  return response;
}

std::string FormatBundle(const InstanceView& view) {
  json::TextWriter writer;
  writer.BeginObject()
      .Member("version", view.status.bundle_version)
      .Member("offset", view.status.offset)
      .Member("text", view.bundle_text)
      .EndObject();
  return writer.Take();
}

}  // namespace

StatusEndpoints::StatusEndpoints(const Counters& counters,
                                 RequestViewHook request_view,
                                 std::function<bool()> ready)
    : counters_(counters),
      request_view_(std::move(request_view)),
      ready_(std::move(ready)) {}

bool StatusEndpoints::Handle(const http::Target& target,
                             const std::string& method,
                             const http::Responder& respond) const {
  const auto& segments = target.segments();
  const bool versioned = segments.size() == 2 && segments[0] == "v1";
  const bool status = versioned && segments[1] == "status";
  const bool bundle = versioned && segments[1] == "bundle";
  const bool unversioned = segments.size() == 1 && (segments[0] == "metrics" ||
                                                    segments[0] == "healthz" ||
                                                    segments[0] == "readyz");
  if (!status && !bundle && !unversioned) {
    return false;
  }
  if (method != "GET") {
    respond(ErrorResponse(405, "only GET is allowed here"));
    return true;
  }
  if (unversioned && segments[0] == "metrics") {
    respond(TextResponse(200, counters_.Format()));
  } else if (unversioned && segments[0] == "healthz") {
    respond(TextResponse(200, "ok\n"));
  } else if (unversioned) {
    const bool ready = ready_();
    respond(TextResponse(ready ? 200 : 503, ready ? "ready\n" : "not ready\n"));
  } else if (!request_view_([respond, bundle](const InstanceView& view) {
               respond(
                   http::JsonResponse(200, bundle ? FormatBundle(view)
                                                  : FormatStatus(view.status)));
             })) {
    respond(ErrorResponse(503, "overloaded"));
  }
  return true;
}

std::string FormatStatus(const core::CoreStatus& status) {
  json::TextWriter writer;
  writer.BeginObject();
  WriteInfo(status.info, writer);
  writer.Member("offset", status.offset)
      .Member("bundle_version", status.bundle_version)
      .Member("generation", status.generation)
      .Member("evidence_age_ms", AgeMillis(status.evidence_age))
      .Member("ready", status.ready)
      .Member("stopping", status.stopping)
      .Member("shards_owned", status.shards_owned)
      .Member("shards_serving", status.shards_serving)
      .Member("jobs_running", status.jobs_running)
      .Member("tasks_waiting", status.tasks_waiting);
  writer.Key("peers").BeginArray();
  for (const core::PeerStatus& peer : status.peers) {
    WritePeer(peer, writer);
  }
  writer.EndArray().Key("zones").BeginArray();
  for (const core::ZoneStatus& zone : status.zones) {
    WriteZone(zone, writer);
  }
  writer.EndArray().EndObject();
  return writer.Take();
}

}  // namespace filbertwick::net

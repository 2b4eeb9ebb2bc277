#include "filbertwick/net/change_codec.h"

#include <string>

#include "filbertwick/http/json_response.h"
#include "filbertwick/json/document.h"
#include "filbertwick/json/object_reader.h"
#include "filbertwick/json/text_writer.h"
#include "filbertwick/net/json_response.h"

namespace filbertwick::net {
namespace {

wire::PublishBundle ReadPublish(json::ObjectReader reader) {
  wire::PublishBundle publish;
  publish.version = reader.Integer<uint64_t>("version", {1});
  publish.based_on = reader.Integer<uint64_t>("based_on", {});
  publish.text = reader.String("text", {1, kMaxBundleBytes});
  reader.Finish();
  return publish;
}

wire::SetZone ReadZone(json::ObjectReader reader) {
  wire::SetZone zone;
  zone.zone = reader.ReadName<ZoneName>("name");
  zone.out = reader.Boolean("out");
  reader.Finish();
  return zone;
}

/// Reads the single change that the request contains; reports an error if there
/// is none or more than one.
void ReadChangeBody(json::ObjectReader& reader, wire::ControlBody& body) {
  int kinds = 0;
  if (reader.Has("publish")) {
    ++kinds;
    if (const auto object = reader.Object("publish")) {
      body = ReadPublish(*object);
    }
  }
  if (reader.Has("zone")) {
    ++kinds;
    if (const auto object = reader.Object("zone")) {
      body = ReadZone(*object);
    }
  }
  if (reader.Has("remove_instance")) {
    ++kinds;
    body = wire::LeaveInstance{reader.ReadName<InstanceName>("remove_instance"),
                               0};
  }
  if (kinds != 1) {
    reader.node().Report(
        "exactly one of publish, zone and remove_instance is allowed");
  }
}

}  // namespace

absl::StatusOr<wire::ControlRecord> ParseChange(std::string_view body,
                                                WallTime now) {
  const auto document =
      json::Document::Parse("body", body, json::Comments::kForbidden);
  if (!document.parsed()) {
    return FindingsError(document);
  }
  json::ObjectReader reader(document.root());
  wire::ControlRecord record;
  record.change = reader.ReadName<ChangeId>("change");
  record.author = reader.ReadName<AuthorName>("author");
  record.written = now;
  ReadChangeBody(reader, record.body);
  reader.Finish();
  if (!document.ok()) {
    return FindingsError(document);
  }
  return record;
}

http::Response FormatChangeAnswer(const core::OperatorAnswerEffect& effect) {
  json::TextWriter writer;
  writer.BeginObject()
      .Member("accepted", effect.accepted)
      .Member("offset", effect.offset);
  if (!effect.accepted) {
    writer.Member("why", effect.text);
  }
  writer.EndObject();
  return http::JsonResponse(effect.accepted ? 200 : 409, writer.Take());
}

http::Response FormatAudit(const std::vector<core::AuditEffect>& lines) {
  json::TextWriter writer;
  writer.BeginObject().Key("lines").BeginArray();
  for (const core::AuditEffect& line : lines) {
    writer.BeginObject()
        .Member("offset", line.offset)
        .Member("unix_ms", line.written.unix_millis)
        .Member("author", line.author)
        .Member("change", line.change)
        .Member("what", line.what)
        .Member("accepted", line.accepted)
        .Member("why", line.why)
        .EndObject();
  }
  writer.EndArray().EndObject();
  return http::JsonResponse(200, writer.Take());
}

}  // namespace filbertwick::net

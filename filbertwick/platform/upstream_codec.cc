#include "filbertwick/platform/upstream_codec.h"

#include <fmt/format.h>

#include <boost/json/serialize.hpp>
#include <utility>

#include "filbertwick/platform/json_fields.h"

namespace filbertwick::platform {
namespace {

namespace json = boost::json;
using core::direct::CommandResult;
using core::direct::EndKind;
using core::direct::Listing;
using core::direct::UpstreamAnnouncement;

http::Request FormatCommand(std::string_view target,
                            const core::direct::CommandHeader& header,
                            std::string body) {
  http::Request request;
  request.method = "POST";
  request.target = target;
  request.headers = {
      {"Content-Type", "application/json"},
      {"Filbertwick-Expect-Instance", header.upstream},
  };
  request.body = std::move(body);
  return request;
}

EndKind ParseEndKind(std::string_view end_kind) {
  if (end_kind == "done") {
    return EndKind::kDone;
  }
  if (end_kind == "stopped") {
    return EndKind::kStopped;
  }
  // "lapsed": the run ended with its lease.
  if (end_kind == "lapsed") {
    return EndKind::kLost;
  }
  return EndKind::kFailed;
}

std::optional<std::string_view> StringAt(const json::array& row, size_t n) {
  const json::string* text = n < row.size() ? row[n].if_string() : nullptr;
  return text == nullptr
             ? std::nullopt
             : std::optional(std::string_view(text->data(), text->size()));
}

std::optional<int64_t> IntegerAt(const json::array& row, size_t n) {
  return n < row.size() ? AsInteger(row[n]) : std::nullopt;
}

// Appends the row of a running task: task, run, saved progress, percent,
// approximate load.
void AppendRunningRow(const json::array& row, Listing& listing) {
  const auto task = StringAt(row, 0);
  const auto run = IntegerAt(row, 1);
  if (task && run) {
    listing.running.push_back(
        {{std::string(*task), static_cast<uint64_t>(*run)},
         IntegerAt(row, 3).value_or(0)});
  }
}

// Appends the row of an ended task: number, task, run, kind of end, saved
// progress.
void AppendEndedRow(const json::array& row, Listing& listing) {
  const auto number = IntegerAt(row, 0);
  const auto task = StringAt(row, 1);
  const auto run = IntegerAt(row, 2);
  const auto end_kind = StringAt(row, 3);
  if (number && task && run && end_kind) {
    listing.ended.push_back({static_cast<uint64_t>(*number),
                             {std::string(*task), static_cast<uint64_t>(*run)},
                             ParseEndKind(*end_kind)});
  }
}

template <typename RowReader>
void ForEachRow(const json::object& object,
                std::string_view name,
                Listing& listing,
                RowReader read_row) {
  if (const json::array* rows = FindArray(object, name)) {
    for (const json::value& value : *rows) {
      if (const json::array* row = value.if_array()) {
        read_row(*row, listing);
      }
    }
  }
}

}  // namespace

http::Request FormatStart(const core::direct::StartCommand& command) {
  return FormatCommand(
      "/api/run-start", command.header,
      fmt::format("{{\"task\":\"{}\",\"run\":{},\"spec\":{},\"until-ms\":{},"
                  "\"fencing-token\":{}}}",
                  command.run.task, command.run.run,
                  json::serialize(json::value(command.spec)),
                  command.lease_until, command.header.fencing_token));
}

http::Request FormatStop(const core::direct::StopCommand& command) {
  return FormatCommand(
      "/api/run-stop", command.header,
      fmt::format("{{\"task\":\"{}\",\"run\":{},\"fencing-token\":{}}}",
                  command.run.task, command.run.run,
                  command.header.fencing_token));
}

http::Request FormatList(const core::direct::ListCommand& command) {
  const auto wait =
      std::chrono::duration_cast<std::chrono::milliseconds>(command.wait);
  // `seen-upto` is the number of the last end that this sidecar has recorded.
  // The upstream may drop all ends up to it.
  std::string body =
      fmt::format("{{\"fencing-token\":{},\"seen-upto\":{}",
                  command.header.fencing_token, command.acknowledged_end);
  if (command.lease_until > 0) {
    body += fmt::format(",\"until-ms\":{}", command.lease_until);
  }
  if (wait.count() > 0) {
    body += fmt::format(",\"wait-ms\":{}", wait.count());
  }
  return FormatCommand("/api/hold", command.header, body + "}");
}

ParsedAnswer ParseAnswer(const http::Response& response) {
  ParsedAnswer parsed;
  const auto object = ParseObject(response.body);
  std::string_view reason;
  if (object) {
    parsed.clock = FindInteger(*object, "clock-ms").value_or(0);
    reason = FindString(*object, "reason").value_or("");
  }
  switch (response.status) {
    case 200:
      parsed.answer = CommandResult::kAccepted;
      break;
    case 409:
      // "fence": the upstream has seen a higher fencing token.
      parsed.answer =
          reason == "fence" ? CommandResult::kFenced : CommandResult::kRefused;
      break;
    case 421:
      parsed.answer = CommandResult::kOtherIncarnation;
      break;
    case 400:
    case 404:
    case 429:
    case 503:
      parsed.answer = CommandResult::kRefused;
      break;
    default:
      // Any other status leaves open whether the request was carried out.
      parsed.answer = CommandResult::kUnknown;
  }
  return parsed;
}

absl::StatusOr<ParsedListing> ParseListing(std::string_view body) {
  const auto object = ParseObject(body);
  if (!object || FindArray(*object, "running") == nullptr) {
    return absl::InvalidArgumentError("no listing");
  }
  ParsedListing parsed;
  parsed.clock = FindInteger(*object, "clock-ms").value_or(0);
  parsed.listing.started_unix_millis = FindInteger(*object, "born").value_or(0);
  ForEachRow(*object, "running", parsed.listing, AppendRunningRow);
  ForEachRow(*object, "ended", parsed.listing, AppendEndedRow);
  return parsed;
}

absl::StatusOr<UpstreamAnnouncement> ParseAnnouncement(std::string_view id,
                                                       std::string_view body) {
  const auto object = ParseObject(body);
  if (!object || id.empty()) {
    return absl::InvalidArgumentError("no announcement");
  }
  const auto service = FindString(*object, "service");
  const auto zone = FindString(*object, "zone");
  const auto state = FindString(*object, "state");
  const auto sequence = FindInteger(*object, "seq");
  const auto clock = FindInteger(*object, "clock-ms");
  const json::object* capacity_object = FindObject(*object, "capacity");
  if (!service || !zone || !sequence || !clock || capacity_object == nullptr ||
      (state != "ready" && state != "draining")) {
    return absl::InvalidArgumentError(
        "service, zone, state, seq, clock-ms and capacity must be there");
  }
  UpstreamAnnouncement announcement;
  announcement.id = id;
  announcement.started_unix_millis = FindInteger(*object, "born").value_or(0);
  announcement.sequence = static_cast<uint64_t>(*sequence);
  announcement.draining = *state == "draining";
  announcement.clock = *clock;
  announcement.profile.service = *service;
  announcement.profile.zone = ZoneName(*zone);
  for (const std::string_view label : FindStrings(*object, "labels")) {
    announcement.profile.labels.emplace_back(label);
  }
  announcement.profile.capacity = {
      FindInteger(*capacity_object, "cpu").value_or(0),
      FindInteger(*capacity_object, "mem-mb").value_or(0),
      FindInteger(*capacity_object, "gpu").value_or(0)};
  return announcement;
}

}  // namespace filbertwick::platform

#include "filbertwick/net/job_codec.h"

#include <fmt/format.h>
#include <sodium.h>

#include <algorithm>
#include <boost/locale/utf.hpp>
#include <utility>
#include <vector>

#include "filbertwick/http/json_response.h"
#include "filbertwick/json/document.h"
#include "filbertwick/json/object_reader.h"
#include "filbertwick/json/text_writer.h"
#include "filbertwick/net/json_response.h"
#include "filbertwick/net/percent_encoding.h"

namespace filbertwick::net {
namespace {

/// Minimum Retry-After of a refusal; also used when the answer has none.
constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

bool IsUtf8(std::string_view text) {
  using Traits = boost::locale::utf::utf_traits<char>;
  const char* p = text.data();
  const char* const end = p + text.size();
  while (p != end) {
    if (!boost::locale::utf::is_valid_codepoint(Traits::decode(p, end))) {
      return false;
    }
  }
  return true;
}

bool IsControl(char c) {
  return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
}

std::string EncodeBase64(std::string_view bytes) {
  constexpr int kVariant = sodium_base64_VARIANT_ORIGINAL;
  std::string text(sodium_base64_encoded_len(bytes.size(), kVariant), '\0');
  sodium_bin2base64(text.data(), text.size(),
                    reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), kVariant);
  // sodium_base64_encoded_len() includes the terminating zero byte.
  text.pop_back();
  return text;
}

/// Returns the payload of one task: the value of a JSON string, or the JSON
/// text of any other value.
std::string ReadPayload(const json::Node& node, std::string_view body) {
  if (auto text = node.AsString()) {
    return *std::move(text);
  }
  return std::string(node.SourceText(body));
}

absl::Status CheckPayloadSizes(const std::vector<std::string>& payloads) {
  size_t total_bytes = 0;
  for (const std::string& payload : payloads) {
    if (payload.size() > wire::kMaxTaskBytes) {
      return absl::ResourceExhaustedError(
          fmt::format("a payload has more than {} bytes", wire::kMaxTaskBytes));
    }
    total_bytes += payload.size();
  }
  if (total_bytes > wire::kMaxJobBytes) {
    return absl::ResourceExhaustedError(fmt::format(
        "the payloads have more than {} bytes in all", wire::kMaxJobBytes));
  }
  return absl::OkStatus();
}

int HttpStatus(const wire::JobAnswer& answer) {
  if (answer.outcome != wire::JobOutcome::kRefused) {
    return 200;
  }
  switch (answer.reason) {
    case wire::Reason::kUnknownService:
    case wire::Reason::kUnknownTeam:
    case wire::Reason::kUnknownJob:
      return 404;
    case wire::Reason::kInvalidJob:
      return 400;
    case wire::Reason::kOverQuota:
      return 429;
    case wire::Reason::kDigestMismatch:
    case wire::Reason::kCancelled:
      return 409;
    case wire::Reason::kExpired:
      return 410;
    default:
      return 503;
  }
}

void WriteTask(const wire::TaskResult& task, json::TextWriter& writer) {
  const bool succeeded = task.outcome == wire::TaskOutcome::kSucceeded;
  writer.BeginObject().Member("outcome", wire::ToString(task.outcome));
  if (!IsUtf8(task.body)) {
    writer.Member(succeeded ? "result_base64" : "error_base64",
                  EncodeBase64(task.body));
  } else if (succeeded || !task.body.empty()) {
    writer.Member(succeeded ? "result" : "error", task.body);
  }
  writer.EndObject();
}

}  // namespace

absl::StatusOr<JobId> ParseJobId(std::string_view segment) {
  auto text = PercentDecode(segment);
  if (!text || text->empty() || text->size() > kMaxJobIdBytes ||
      std::ranges::any_of(*text, IsControl) || !IsUtf8(*text)) {
    return absl::InvalidArgumentError(
        fmt::format("a job id has 1 to {} bytes of UTF-8 without control "
                    "characters",
                    kMaxJobIdBytes));
  }
  return JobId(*std::move(text));
}

absl::StatusOr<wire::JobSpec> ParseJob(const JobId& id, std::string_view body) {
  const auto document =
      json::Document::Parse("body", body, json::Comments::kForbidden);
  if (!document.parsed()) {
    return FindingsError(document);
  }
  json::ObjectReader reader(document.root());
  wire::JobSpec spec;
  spec.id = id;
  spec.service = reader.ReadName<ServiceName>("service");
  spec.team = reader.ReadName<TeamName>("team");
  const auto max_millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(kMaxDeadline);
  spec.deadline = reader.Milliseconds(
      "deadline_ms", {1, static_cast<uint64_t>(max_millis.count())},
      kDefaultDeadline);
  const auto tasks = reader.Array("tasks", {1, wire::kMaxTasksPerJob});
  reader.Finish();
  if (!document.ok()) {
    return FindingsError(document);
  }
  spec.payloads.reserve(tasks.size());
  for (const json::Node& task : tasks) {
    spec.payloads.push_back(ReadPayload(task, body));
  }
  if (absl::Status status = CheckPayloadSizes(spec.payloads); !status.ok()) {
    return status;
  }
  spec.digest = wire::DigestJob(spec);
  return spec;
}

http::Response FormatAnswer(const wire::JobAnswer& answer) {
  json::TextWriter writer;
  writer.BeginObject()
      .Member("id", answer.id)
      .Member("outcome", wire::ToString(answer.outcome));
  if (answer.reason != wire::Reason::kNone) {
    writer.Member("reason", wire::ToString(answer.reason));
  }
  const bool refused = answer.outcome == wire::JobOutcome::kRefused;
  if (refused) {
    writer.Member("not_run", answer.not_run);
  } else {
    writer.Key("tasks").BeginArray();
    for (const wire::TaskResult& task : answer.tasks) {
      WriteTask(task, writer);
    }
    writer.EndArray();
  }
  writer.EndObject();
  http::Response response =
      http::JsonResponse(HttpStatus(answer), writer.Take());
  if (refused) {
    http::AddRetryAfter(std::max(answer.retry_after, kDefaultRetryAfter),
                        response);
  }
  return response;
}

http::Response FormatExplanation(const core::AnswerEffect& effect) {
  if (effect.answer.outcome == wire::JobOutcome::kRefused &&
      effect.explanation.empty()) {
    return FormatAnswer(effect.answer);
  }
  json::TextWriter writer;
  writer.BeginObject().Member("id", effect.answer.id);
  writer.Key("explanation").BeginArray();
  for (const std::string& line : effect.explanation) {
    writer.Value(line);
  }
  writer.EndArray().EndObject();
  return http::JsonResponse(200, writer.Take());
}

http::Response FormatRefusal(int status,
                             std::string_view reason,
                             std::string_view why,
                             bool not_run) {
  json::TextWriter writer;
  writer.BeginObject()
      .Member("outcome", wire::ToString(wire::JobOutcome::kRefused))
      .Member("reason", reason)
      .Member("not_run", not_run)
      .Member("why", why)
      .EndObject();
  http::Response response = http::JsonResponse(status, writer.Take());
  http::AddRetryAfter(kDefaultRetryAfter, response);
  return response;
}

}  // namespace filbertwick::net

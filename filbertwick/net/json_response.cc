#include "filbertwick/net/json_response.h"

#include <chrono>
#include <utility>

#include "filbertwick/json/text_writer.h"

namespace filbertwick::net {

http::Response JsonResponse(int status, std::string json) {
  http::Response response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = std::move(json);
  return response;
}

http::Response ErrorResponse(int status, std::string_view text) {
  json::TextWriter writer;
  writer.BeginObject().Member("error", text).EndObject();
  return JsonResponse(status, writer.Take());
}

std::string MessageOf(const absl::Status& status) {
  return std::string(status.message());
}

void AddRetryAfter(Duration wait, http::Response& response) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
  response.headers.push_back({"Retry-After", std::to_string(seconds.count())});
}

absl::Status FindingsError(const json::Document& document) {
  return absl::InvalidArgumentError(FormatFindings(document.findings()));
}

}  // namespace filbertwick::net

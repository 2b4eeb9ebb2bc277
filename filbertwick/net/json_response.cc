#include "filbertwick/net/json_response.h"

#include "filbertwick/http/json_response.h"
#include "filbertwick/json/text_writer.h"

namespace filbertwick::net {

http::Response ErrorResponse(int status, std::string_view text) {
  json::TextWriter writer;
  writer.BeginObject().Member("error", text).EndObject();
  return http::JsonResponse(status, writer.Take());
}

std::string StatusMessage(const absl::Status& status) {
  return std::string(status.message());
}

absl::Status FindingsError(const json::Document& document) {
  return absl::InvalidArgumentError(FormatFindings(document.findings()));
}

}  // namespace filbertwick::net

#include "filbertwick/http/json_response.h"

#include <chrono>
#include <utility>

namespace filbertwick::http {

Response JsonResponse(int status, std::string json) {
  return {status, {{"Content-Type", "application/json"}}, std::move(json)};
}

void AddRetryAfter(Duration wait, Response& response) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait);
  response.headers.push_back({"Retry-After", std::to_string(seconds.count())});
}

}  // namespace filbertwick::http

#ifndef FILBERTWICK_HTTP_JSON_RESPONSE_H_
#define FILBERTWICK_HTTP_JSON_RESPONSE_H_

#include <string>

#include "filbertwick/base/time.h"
#include "filbertwick/http/message.h"

namespace filbertwick::http {

/// Returns a response with `json` as its body and the JSON content type.
Response JsonResponse(int status, std::string json);

/// Adds a Retry-After header of `wait`, rounded up to whole seconds.
void AddRetryAfter(Duration wait, Response& response);

}  // namespace filbertwick::http

#endif  // FILBERTWICK_HTTP_JSON_RESPONSE_H_

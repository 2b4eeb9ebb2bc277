#ifndef FILBERTWICK_HTTP_JSON_RESPONSE_H_
#define FILBERTWICK_HTTP_JSON_RESPONSE_H_

#include <string>

#include "filbertwick/base/time.h"
#include "filbertwick/http/message.h"

namespace filbertwick::http {

/// A response with a JSON text.
Response JsonResponse(int status, std::string json);

/// Adds Retry-After, in whole seconds, rounded up.
void AddRetryAfter(Duration wait, Response& response);

}  // namespace filbertwick::http

#endif  // FILBERTWICK_HTTP_JSON_RESPONSE_H_

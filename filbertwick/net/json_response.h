#ifndef FILBERTWICK_NET_JSON_RESPONSE_H_
#define FILBERTWICK_NET_JSON_RESPONSE_H_

#include <absl/status/status.h>

#include <string>
#include <string_view>

#include "filbertwick/base/time.h"
#include "filbertwick/http/message.h"
#include "filbertwick/json/document.h"

namespace filbertwick::net {

/// A response with a JSON text.
http::Response JsonResponse(int status, std::string json);

/// A response `{"error": text}`.
http::Response ErrorResponse(int status, std::string_view text);

/// The text of a status.
std::string MessageOf(const absl::Status& status);

/// Adds Retry-After, in whole seconds, rounded up.
void AddRetryAfter(Duration wait, http::Response& response);

/// InvalidArgument with all findings of a document.
absl::Status FindingsError(const json::Document& document);

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_JSON_RESPONSE_H_

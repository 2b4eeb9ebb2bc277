#ifndef FILBERTWICK_NET_JSON_RESPONSE_H_
#define FILBERTWICK_NET_JSON_RESPONSE_H_

#include <absl/status/status.h>

#include <string>
#include <string_view>

#include "filbertwick/http/message.h"
#include "filbertwick/json/document.h"

namespace filbertwick::net {

/// Returns a response with the JSON body `{"error": text}`.
http::Response ErrorResponse(int status, std::string_view text);

/// Returns the message of a status without its code.
std::string StatusMessage(const absl::Status& status);

/// Returns InvalidArgument that lists all errors found in a document.
absl::Status FindingsError(const json::Document& document);

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_JSON_RESPONSE_H_

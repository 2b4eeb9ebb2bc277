#ifndef FILBERTWICK_NET_JSON_RESPONSE_H_
#define FILBERTWICK_NET_JSON_RESPONSE_H_

#include <absl/status/status.h>

#include <string>
#include <string_view>

#include "filbertwick/http/message.h"
#include "filbertwick/json/document.h"

namespace filbertwick::net {

/// A response `{"error": text}`.
http::Response ErrorResponse(int status, std::string_view text);

/// The text of a status.
std::string StatusMessage(const absl::Status& status);

/// InvalidArgument with all findings of a document.
absl::Status FindingsError(const json::Document& document);

}  // namespace filbertwick::net

#endif  // FILBERTWICK_NET_JSON_RESPONSE_H_

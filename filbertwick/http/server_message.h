#ifndef FILBERTWICK_HTTP_SERVER_MESSAGE_H_
#define FILBERTWICK_HTTP_SERVER_MESSAGE_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "filbertwick/http/message.h"

namespace filbertwick::http {

/// Converts a parsed request.
Request ConvertRequest(
    boost::beast::http::request<boost::beast::http::string_body> message,
    uint64_t number);

/// Returns the response to a request that the server rejects before its handler
/// sees it. `not_run` tells the caller that nothing was executed.
Response MakeErrorResponse(int status, std::string_view reason);

/// Returns the error response for an error of the request parser.
Response MakeParseErrorResponse(const boost::system::error_code& ec);

/// Returns true if HTTP allows no body in a response of this status.
bool StatusForbidsBody(int status);

/// Formats the status line and header section, with Content-Length where the
/// status allows a body.
std::string FormatResponseHead(const Response& response, bool keep_alive);

}  // namespace filbertwick::http

#endif  // FILBERTWICK_HTTP_SERVER_MESSAGE_H_

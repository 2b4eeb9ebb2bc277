#include "filbertwick/http/server_message.h"

#include <fmt/format.h>

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <utility>

#include "filbertwick/http/format.h"

namespace filbertwick::http {

namespace beast = boost::beast;

Request ConvertRequest(beast::http::request<beast::http::string_body> message,
                       uint64_t number) {
  Request request;
  request.number = number;
  request.method = message.method_string();
  request.target = message.target();
  for (const auto& field : message) {
    request.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

Response MakeErrorResponse(int status, std::string_view reason) {
  return {status,
          {{"Content-Type", "application/json"}},
          fmt::format("{{\"reason\":\"{}\",\"not_run\":true}}\n", reason)};
}

Response MakeParseErrorResponse(const boost::system::error_code& ec) {
  if (ec == beast::http::error::body_limit) {
    return MakeErrorResponse(413, "body_too_large");
  }
  if (ec == beast::http::error::header_limit) {
    return MakeErrorResponse(431, "header_too_large");
  }
  return MakeErrorResponse(400, "malformed_request");
}

bool StatusForbidsBody(int status) {
  return status < 200 || status == 204 || status == 304;
}

std::string FormatResponseHead(const Response& response, bool keep_alive) {
  const auto status = static_cast<unsigned>(response.status);
  const auto reason =
      beast::http::obsolete_reason(beast::http::int_to_status(status));
  std::string head;
  head.reserve(256);
  head += "HTTP/1.1 ";
  head += fmt::format_int(status).str();
  head += ' ';
  head.append(reason.data(), reason.size());
  head += "\r\n";
  AppendHeaders(response.headers, head);
  if (!StatusForbidsBody(response.status)) {
    AppendContentLength(response.body.size(), head);
  }
  if (!keep_alive) {
    head += "Connection: close\r\n";
  }
  head += "\r\n";
  return head;
}

}  // namespace filbertwick::http

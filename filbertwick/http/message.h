#ifndef FILBERTWICK_HTTP_MESSAGE_H_
#define FILBERTWICK_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbertwick::http {

/// Name and value of one header field.
struct Header {
  std::string name;
  std::string value;
};

/// An HTTP request, as received by a server or to be sent by a client.
struct Request {
  std::string method = "GET";
  /// Path and query, not percent-decoded.
  std::string target = "/";
  std::vector<Header> headers;
  std::string body;
  /// Identifies the request; unique per server. Set by the server only.
  uint64_t number = 0;

  /// Returns the value of the first header of this name, ignoring case, or an
  /// empty view if there is none.
  std::string_view FindHeader(std::string_view name) const;
};

/// A response with this status is not sent: the server closes the connection
/// instead. Fake services in tests use it to simulate a response that is lost
/// after the request was executed.
inline constexpr int kNoResponse = 0;

/// An HTTP response, as received by a client or to be sent by a server.
struct Response {
  int status = 200;
  std::vector<Header> headers;
  std::string body;

  /// Returns the value of the first header of this name, ignoring case, or an
  /// empty view if there is none.
  std::string_view FindHeader(std::string_view name) const;
};

}  // namespace filbertwick::http

#endif  // FILBERTWICK_HTTP_MESSAGE_H_

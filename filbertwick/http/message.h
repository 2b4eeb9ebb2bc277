#ifndef FILBERTWICK_HTTP_MESSAGE_H_
#define FILBERTWICK_HTTP_MESSAGE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace filbertwick::http {

/// One header field.
struct Header {
  std::string name;
  std::string value;
};

/// A request, as received or to be sent.
struct Request {
  std::string method = "GET";
  /// Path with query.
  std::string target = "/";
  std::vector<Header> headers;
  std::string body;
  /// Set by the server: unique within it.
  uint64_t number = 0;

  /// Value of a header, compared without case; empty when absent.
  std::string_view FindHeader(std::string_view name) const;
};

/// Status of a response that closes the connection without sending anything:
/// for stand-ins that lose their answers.
inline constexpr int kNoResponse = 0;

/// A response, as received or to be sent.
struct Response {
  int status = 200;
  std::vector<Header> headers;
  std::string body;

  /// Value of a header, compared without case; empty when absent.
  std::string_view FindHeader(std::string_view name) const;
};

}  // namespace filbertwick::http

#endif  // FILBERTWICK_HTTP_MESSAGE_H_

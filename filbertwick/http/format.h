#ifndef FILBERTWICK_HTTP_FORMAT_H_
#define FILBERTWICK_HTTP_FORMAT_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "filbertwick/http/message.h"

namespace filbertwick::http {

/// Appends `name: value` lines. CR, LF and NUL inside a value become spaces, so
/// that a value can't inject further headers. Headers whose name is not a valid
/// token are omitted, and so are Content-Length and Transfer-Encoding, which
/// the client and the server set themselves.
void AppendHeaders(std::span<const Header> headers, std::string& out);

/// Appends a Content-Length header for a body of `n` bytes.
void AppendContentLength(size_t n, std::string& out);

/// Returns true if `text` is a valid method or header name: one or more token
/// characters of RFC 9110.
bool IsValidToken(std::string_view text);

/// Returns true if `text` is not empty and has no spaces or control characters,
/// so that it can stand as the target in a request line.
bool IsValidTarget(std::string_view text);

}  // namespace filbertwick::http

#endif  // FILBERTWICK_HTTP_FORMAT_H_

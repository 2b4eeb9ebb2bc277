#ifndef FILBERTWICK_HTTP_FORMAT_H_
#define FILBERTWICK_HTTP_FORMAT_H_

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "filbertwick/http/message.h"

namespace filbertwick::http {

/// Appends `name: value` lines. Line ends inside a value become spaces, names
/// that are no tokens and fields that frame the body are left out.
void AppendHeaders(std::span<const Header> headers, std::string& out);

/// Appends the field that gives the length of the body in bytes.
void AppendContentLength(size_t n, std::string& out);

/// True for a method or header name of token characters only.
bool IsValidToken(std::string_view text);

/// True for a request target without spaces or control characters.
bool IsValidTarget(std::string_view text);

}  // namespace filbertwick::http

#endif  // FILBERTWICK_HTTP_FORMAT_H_

#include "filbertwick/http/message.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <span>

namespace filbertwick::http {
namespace {

std::string_view FindHeaderValue(std::span<const Header> headers,
                                 std::string_view name) {
  const auto it = std::ranges::find_if(headers, [&](const Header& header) {
    return boost::algorithm::iequals(header.name, name);
  });
  return it == headers.end() ? std::string_view() : it->value;
}

}  // namespace

std::string_view Request::FindHeader(std::string_view name) const {
  return FindHeaderValue(headers, name);
}

std::string_view Response::FindHeader(std::string_view name) const {
  return FindHeaderValue(headers, name);
}

}  // namespace filbertwick::http

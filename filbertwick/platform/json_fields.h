#ifndef FILBERTWICK_PLATFORM_JSON_FIELDS_H_
#define FILBERTWICK_PLATFORM_JSON_FIELDS_H_

#include <absl/status/statusor.h>

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "filbertwick/base/time.h"

namespace filbertwick::platform {

// Reads single fields of JSON written by other programs. A field that is
// missing or has another type yields null or nullopt; the caller decides
// whether that is an error.

/// Parses a JSON object; nullopt for any other text.
std::optional<boost::json::object> ParseObject(std::string_view text);
/// The same for a text from a client, whose parsed form may use `max_bytes` of
/// memory. ResourceExhausted if it needs more, InvalidArgument for any other
/// text.
absl::StatusOr<boost::json::object> ParseBoundedObject(std::string_view text,
                                                       size_t max_bytes);

const boost::json::object* FindObject(const boost::json::object& object,
                                      std::string_view name);
const boost::json::array* FindArray(const boost::json::object& object,
                                    std::string_view name);
/// The value of a whole number, also when it is written as a decimal fraction
/// such as 3.0.
std::optional<int64_t> AsInteger(const boost::json::value& value);
std::optional<int64_t> FindInteger(const boost::json::object& object,
                                   std::string_view name);
std::optional<double> FindNumber(const boost::json::object& object,
                                 std::string_view name);
std::optional<bool> FindBool(const boost::json::object& object,
                             std::string_view name);
std::optional<std::string_view> FindString(const boost::json::object& object,
                                           std::string_view name);
/// Reads a number of milliseconds, which may have a fraction.
std::optional<Duration> FindMillis(const boost::json::object& object,
                                   std::string_view name);
/// The strings of an array; elements of other types are left out.
std::vector<std::string_view> FindStrings(const boost::json::object& object,
                                          std::string_view name);

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_JSON_FIELDS_H_

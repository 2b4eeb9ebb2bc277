#ifndef FILBERTWICK_PLATFORM_JSON_FIELDS_H_
#define FILBERTWICK_PLATFORM_JSON_FIELDS_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "filbertwick/base/time.h"

namespace filbertwick::platform {

// Reads single fields of JSON that other writers made. A field that is missing
// or of another type gives nothing; the caller decides what that means.

/// Parses a JSON object; nothing for any other text.
std::optional<boost::json::object> ParseObject(std::string_view text);

const boost::json::object* FindObject(const boost::json::object& object,
                                      std::string_view name);
const boost::json::array* FindArray(const boost::json::object& object,
                                    std::string_view name);
/// A whole number, however it is written.
std::optional<int64_t> AsInteger(const boost::json::value& value);
std::optional<int64_t> FindInteger(const boost::json::object& object,
                                   std::string_view name);
std::optional<double> FindNumber(const boost::json::object& object,
                                 std::string_view name);
std::optional<bool> FindBool(const boost::json::object& object,
                             std::string_view name);
std::optional<std::string_view> FindString(const boost::json::object& object,
                                           std::string_view name);
/// Milliseconds, as a duration.
std::optional<Duration> FindMillis(const boost::json::object& object,
                                   std::string_view name);
/// The strings of an array; others are left out.
std::vector<std::string_view> FindStrings(const boost::json::object& object,
                                          std::string_view name);

}  // namespace filbertwick::platform

#endif  // FILBERTWICK_PLATFORM_JSON_FIELDS_H_

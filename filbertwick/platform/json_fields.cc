#include "filbertwick/platform/json_fields.h"

#include <boost/json/parse.hpp>
#include <cmath>

namespace filbertwick::platform {
namespace {

namespace json = boost::json;

const json::value* Find(const json::object& object, std::string_view name) {
  return object.if_contains(json::string_view(name.data(), name.size()));
}

}  // namespace

std::optional<json::object> ParseObject(std::string_view text) {
  boost::system::error_code ec;
  json::value value =
      json::parse(json::string_view(text.data(), text.size()), ec);
  json::object* object = ec ? nullptr : value.if_object();
  return object == nullptr ? std::nullopt : std::optional(std::move(*object));
}

const json::object* FindObject(const json::object& object,
                               std::string_view name) {
  const json::value* value = Find(object, name);
  return value == nullptr ? nullptr : value->if_object();
}

const json::array* FindArray(const json::object& object,
                             std::string_view name) {
  const json::value* value = Find(object, name);
  return value == nullptr ? nullptr : value->if_array();
}

std::optional<int64_t> AsInteger(const json::value& value) {
  if (const int64_t* number = value.if_int64()) {
    return *number;
  }
  const double* real = value.if_double();
  if (real != nullptr && std::trunc(*real) == *real &&
      std::abs(*real) < 0x1p62) {
    return static_cast<int64_t>(*real);
  }
  return std::nullopt;
}

std::optional<int64_t> FindInteger(const json::object& object,
                                   std::string_view name) {
  const json::value* value = Find(object, name);
  return value == nullptr ? std::nullopt : AsInteger(*value);
}

std::optional<double> FindNumber(const json::object& object,
                                 std::string_view name) {
  const json::value* value = Find(object, name);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (const double* real = value->if_double()) {
    return *real;
  }
  const auto whole = AsInteger(*value);
  return whole ? std::optional(static_cast<double>(*whole)) : std::nullopt;
}

std::optional<bool> FindBool(const json::object& object,
                             std::string_view name) {
  const json::value* value = Find(object, name);
  const bool* flag = value == nullptr ? nullptr : value->if_bool();
  return flag == nullptr ? std::nullopt : std::optional(*flag);
}

std::optional<std::string_view> FindString(const json::object& object,
                                           std::string_view name) {
  const json::value* value = Find(object, name);
  const json::string* text = value == nullptr ? nullptr : value->if_string();
  return text == nullptr
             ? std::nullopt
             : std::optional(std::string_view(text->data(), text->size()));
}

std::optional<Duration> FindMillis(const json::object& object,
                                   std::string_view name) {
  const auto number = FindNumber(object, name);
  return number && std::abs(*number) < 1e12
             ? std::optional(Duration(static_cast<int64_t>(*number * 1000)))
             : std::nullopt;
}

std::vector<std::string_view> FindStrings(const json::object& object,
                                          std::string_view name) {
  std::vector<std::string_view> texts;
  if (const json::array* array = FindArray(object, name)) {
    for (const json::value& value : *array) {
      if (const json::string* text = value.if_string()) {
        texts.emplace_back(text->data(), text->size());
      }
    }
  }
  return texts;
}

}  // namespace filbertwick::platform

#include "filbertwick/platform/json_fields.h"

#include <fmt/format.h>

#include <boost/json/memory_resource.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/parser.hpp>
#include <cmath>
#include <new>
#include <utility>

namespace filbertwick::platform {
namespace {

namespace json = boost::json;

const json::value* Find(const json::object& object, std::string_view name) {
  return object.if_contains(json::string_view(name.data(), name.size()));
}

/// Memory of a JSON value up to a limit; std::bad_alloc above it.
class BoundedResource : public json::memory_resource {
 public:
  explicit BoundedResource(size_t max_bytes) : bytes_left_(max_bytes) {}

 private:
  void* do_allocate(size_t bytes, size_t alignment) override {
    if (bytes > bytes_left_) {
      throw std::bad_alloc();
    }
    bytes_left_ -= bytes;
    return ::operator new(bytes, std::align_val_t(alignment));
  }
  void do_deallocate(void* memory, size_t bytes, size_t alignment) override {
    bytes_left_ += bytes;
    ::operator delete(memory, std::align_val_t(alignment));
  }
  bool do_is_equal(const json::memory_resource& other) const noexcept override {
    return this == &other;
  }

  size_t bytes_left_;
};

}  // namespace

std::optional<json::object> ParseObject(std::string_view text) {
  boost::system::error_code ec;
  json::value value =
      json::parse(json::string_view(text.data(), text.size()), ec);
  json::object* object = ec ? nullptr : value.if_object();
  return object == nullptr ? std::nullopt : std::optional(std::move(*object));
}

absl::StatusOr<json::object> ParseBoundedObject(std::string_view text,
                                                size_t max_bytes) {
  try {
    // The parser's own stack of values uses the same memory.
    const auto memory = json::make_shared_resource<BoundedResource>(max_bytes);
    json::parser parser(memory);
    parser.reset(memory);
    boost::system::error_code ec;
    parser.write(text.data(), text.size(), ec);
    json::value value = ec ? json::value() : parser.release();
    if (json::object* object = value.if_object()) {
      return std::move(*object);
    }
  } catch (const std::bad_alloc&) {
    return absl::ResourceExhaustedError(fmt::format(
        "the parsed text needs more than {} bytes of memory", max_bytes));
  }
  return absl::InvalidArgumentError("the text must be a JSON object");
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

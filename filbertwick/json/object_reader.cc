#include "filbertwick/json/object_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <json/value.h>

#include <algorithm>
#include <set>

#include "filbertwick/json/document_state.h"

namespace filbertwick::json {
namespace {

constexpr uint64_t kUnbounded = std::numeric_limits<uint64_t>::max();

bool IsInRange(const Range& range, uint64_t value) {
  return range.min <= value && value <= range.max;
}

std::string DescribeRange(const Range& range) {
  if (range.max == kUnbounded) {
    return fmt::format("at least {}", range.min);
  }
  if (range.min == range.max) {
    return fmt::format("{}", range.min);
  }
  return fmt::format("{} to {}", range.min, range.max);
}

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameBytes &&
         std::ranges::all_of(text, IsNameCharacter);
}

const std::string& DescribeNameFormat() {
  static const std::string rule =
      fmt::format("1 to {} letters, digits, '.', '_' or '-'", kMaxNameBytes);
  return rule;
}

}  // namespace

ObjectReader::ObjectReader(const Node& node)
    : node_(node), is_object_(node.value_->isObject()) {
  if (!is_object_) {
    node_.Report("must be an object");
  }
}

bool ObjectReader::Has(std::string_view name) const {
  const std::optional<Node> child = node_.Child(name);
  return is_object_ && child && !child->value_->isNull();
}

Node ObjectReader::At(std::string_view name) const {
  return node_.Child(name).value_or(node_);
}

double ObjectReader::Number(std::string_view name,
                            double min,
                            double max,
                            std::optional<double> fallback) {
  const Json::Value* value = FindField(name, !fallback);
  if (value == nullptr) {
    return fallback.value_or(min);
  }
  if (!value->isNumeric() || value->asDouble() < min ||
      value->asDouble() > max) {
    At(name).Report(fmt::format("must be a number, {} to {}", min, max));
    return fallback.value_or(min);
  }
  return value->asDouble();
}

Duration ObjectReader::Milliseconds(std::string_view name,
                                    Range range,
                                    std::optional<Duration> fallback) {
  // Duration counts microseconds; a larger number of milliseconds would
  // overflow it.
  const uint64_t limit = Duration::max().count() / 1000;
  range.max = std::min(range.max, limit);
  std::optional<uint64_t> number;
  if (fallback) {
    number = static_cast<uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(*fallback)
            .count());
  }
  return std::chrono::milliseconds(ReadInteger(name, range, number));
}

bool ObjectReader::Boolean(std::string_view name,
                           std::optional<bool> fallback) {
  const Json::Value* value = FindField(name, !fallback);
  if (value == nullptr) {
    return fallback.value_or(false);
  }
  if (!value->isBool()) {
    At(name).Report("must be true or false");
    return fallback.value_or(false);
  }
  return value->asBool();
}

std::string ObjectReader::String(std::string_view name,
                                 Range bytes,
                                 const std::optional<std::string>& fallback) {
  const Json::Value* value = FindField(name, !fallback);
  if (value == nullptr) {
    return fallback.value_or("");
  }
  std::string text = value->isString() ? value->asString() : "";
  if (!value->isString() || !IsInRange(bytes, text.size())) {
    At(name).Report(
        fmt::format("must be a string of {} bytes", DescribeRange(bytes)));
    return fallback.value_or("");
  }
  return text;
}

std::vector<Node> ObjectReader::Array(std::string_view name, Range size) {
  const Json::Value* value = FindField(name, size.min > 0);
  if (value == nullptr) {
    return {};
  }
  const Node array = At(name);
  if (!value->isArray() || !IsInRange(size, value->size())) {
    array.Report(
        fmt::format("must be an array of {} elements", DescribeRange(size)));
    return {};
  }
  std::vector<Node> nodes;
  for (const Json::Value& element : *value) {
    nodes.push_back(Node(node_.state_, &element,
                         fmt::format("{}/{}", array.path(), nodes.size())));
  }
  return nodes;
}

std::vector<std::string> ObjectReader::Strings(std::string_view name,
                                               Range size,
                                               Range bytes) {
  std::vector<std::string> texts;
  for (const Node& node : Array(name, size)) {
    std::string text = node.value_->isString() ? node.value_->asString() : "";
    if (!node.value_->isString() || !IsInRange(bytes, text.size())) {
      node.Report(
          fmt::format("must be a string of {} bytes", DescribeRange(bytes)));
      continue;
    }
    texts.push_back(std::move(text));
  }
  return texts;
}

std::optional<ObjectReader> ObjectReader::Object(std::string_view name,
                                                 Presence presence) {
  const Json::Value* value = FindField(name, presence == Presence::kRequired);
  if (value == nullptr) {
    return std::nullopt;
  }
  ObjectReader reader(At(name));
  return reader.is_object_ ? std::optional(std::move(reader)) : std::nullopt;
}

void ObjectReader::Finish() {
  if (!is_object_) {
    return;
  }
  std::ranges::sort(known_fields_);
  for (const std::string& name : node_.value_->getMemberNames()) {
    if (!std::ranges::binary_search(known_fields_, name)) {
      At(name).Report(fmt::format("unknown field, allowed are {}",
                                  fmt::join(known_fields_, ", ")));
    }
  }
}

const Json::Value* ObjectReader::FindField(std::string_view name,
                                           bool required) {
  known_fields_.emplace_back(name);
  if (!is_object_) {
    return nullptr;
  }
  const std::optional<Node> child = node_.Child(name);
  if (!child && required) {
    node_.Report(fmt::format("the field \"{}\" is missing", name));
  }
  return child ? child->value_ : nullptr;
}

uint64_t ObjectReader::ReadInteger(std::string_view name,
                                   Range range,
                                   std::optional<uint64_t> fallback) {
  const Json::Value* value = FindField(name, !fallback);
  if (value == nullptr) {
    return fallback.value_or(range.min);
  }
  if (!value->isUInt64() || !IsInRange(range, value->asUInt64())) {
    At(name).Report(
        fmt::format("must be a whole number, {}", DescribeRange(range)));
    return fallback.value_or(range.min);
  }
  return value->asUInt64();
}

std::string ObjectReader::ReadNameString(
    std::string_view name,
    const std::optional<std::string>& fallback) {
  const Json::Value* value = FindField(name, !fallback);
  if (value == nullptr) {
    return fallback.value_or("");
  }
  if (!value->isString() || !IsName(value->asString())) {
    At(name).Report(fmt::format("must be a name of {}", DescribeNameFormat()));
    return fallback.value_or("");
  }
  return value->asString();
}

std::vector<std::string> ObjectReader::ReadNameStrings(std::string_view name,
                                                       Range size) {
  std::vector<std::string> names;
  std::set<std::string> seen;
  for (const Node& node : Array(name, size)) {
    if (!node.value_->isString() || !IsName(node.value_->asString())) {
      node.Report(fmt::format("must be a name of {}", DescribeNameFormat()));
      continue;
    }
    std::string text = node.value_->asString();
    if (!seen.insert(text).second) {
      node.Report(fmt::format("\"{}\" is named twice", text));
      continue;
    }
    names.push_back(std::move(text));
  }
  return names;
}

std::optional<size_t> ObjectReader::ReadChoiceIndex(
    std::string_view name,
    std::span<const std::string_view> words,
    bool has_fallback) {
  const Json::Value* value = FindField(name, !has_fallback);
  if (value == nullptr) {
    return std::nullopt;
  }
  const auto it = value->isString()
                      ? std::ranges::find(words, value->asString())
                      : words.end();
  if (it == words.end()) {
    At(name).Report(
        fmt::format("must be one of \"{}\"", fmt::join(words, "\", \"")));
    return std::nullopt;
  }
  return it - words.begin();
}

}  // namespace filbertwick::json

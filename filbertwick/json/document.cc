#include "filbertwick/json/document.h"

#include <fmt/format.h>
#include <json/reader.h>
#include <json/value.h>

#include <algorithm>
#include <boost/locale/utf.hpp>
#include <charconv>
#include <exception>
#include <memory>
#include <optional>
#include <regex>
#include <system_error>
#include <utility>

#include "filbertwick/json/document_state.h"
#include "filbertwick/json/duplicate_keys.h"

namespace filbertwick::json {
namespace {

/// The first error that JsonCpp reports for an invalid text.
struct SyntaxError {
  int line = 0;
  std::string text;
};

/// Extracts the first error from JsonCpp's formatted messages. If the format is
/// not recognized, returns all messages as an error at line 1.
SyntaxError ParseFirstError(const std::string& messages) {
  static const std::regex pattern(R"(\* Line (\d+), Column \d+\n\s*([^\n]*))");
  std::smatch match;
  if (!std::regex_search(messages, match, pattern)) {
    return {1, messages};
  }
  return {std::stoi(match[1]), match[2]};
}

/// Parses `text` into `value`; returns the error if the syntax is invalid.
std::optional<SyntaxError> ParseValue(std::string_view text,
                                      Comments comments,
                                      bool reject_duplicates,
                                      Json::Value* value) {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["collectComments"] = false;
  builder["allowComments"] = comments == Comments::kAllowed;
  builder["rejectDupKeys"] = reject_duplicates;
  builder["strictRoot"] = false;
  builder["stackLimit"] = kMaxDepth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  std::string messages;
  try {
    if (reader->parse(text.data(), text.data() + text.size(), value,
                      &messages)) {
      return std::nullopt;
    }
  } catch (const std::exception&) {
    return SyntaxError{1, fmt::format("nested too deep, at most {} levels are "
                                      "allowed",
                                      kMaxDepth)};
  }
  return ParseFirstError(messages);
}

/// Returns the byte offset of the first invalid UTF-8 sequence, if any.
std::optional<size_t> FindInvalidUtf8(std::string_view text) {
  using Traits = boost::locale::utf::utf_traits<char>;
  const char* p = text.data();
  const char* const end = p + text.size();
  while (p != end) {
    const char* const start = p;
    const auto code_point = Traits::decode(p, end);
    if (!boost::locale::utf::is_valid_codepoint(code_point)) {
      return start - text.data();
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> Node::AsString() const {
  return value_->isString() ? std::optional(value_->asString()) : std::nullopt;
}

std::string_view Node::SourceText(std::string_view text) const {
  const auto start = static_cast<size_t>(value_->getOffsetStart());
  const auto limit = static_cast<size_t>(value_->getOffsetLimit());
  return text.substr(start, limit - start);
}

void Node::Report(std::string_view text, Severity severity) const {
  state_->Report(static_cast<size_t>(value_->getOffsetStart()), path_, text,
                 severity);
}

std::optional<Node> Node::Child(std::string_view name) const {
  const Json::Value* child = nullptr;
  if (value_->isObject()) {
    child = value_->find(name.data(), name.data() + name.size());
  } else if (value_->isArray()) {
    size_t index = 0;
    const auto parsed =
        std::from_chars(name.data(), name.data() + name.size(), index);
    if (parsed.ec == std::errc() && index < value_->size()) {
      child = &(*value_)[static_cast<Json::ArrayIndex>(index)];
    }
  }
  if (child == nullptr) {
    return std::nullopt;
  }
  const std::string_view parent = path_ == "/" ? "" : std::string_view(path_);
  return Node(state_, child, fmt::format("{}/{}", parent, name));
}

Document::Document(std::shared_ptr<Node::State> state)
    : state_(std::move(state)) {}

Document Document::Parse(std::string_view file,
                         std::string_view text,
                         Comments comments) {
  auto state = std::make_shared<Node::State>(file, text);
  if (const auto offset = FindInvalidUtf8(text)) {
    state->Report(*offset, "/", "a byte is not UTF-8");
    return Document(std::move(state));
  }
  const auto strict_error = ParseValue(text, comments, true, &state->root);
  if (!strict_error) {
    state->parsed = true;
    return Document(std::move(state));
  }
  // If duplicate keys are the only errors, the document still counts as parsed,
  // so that readers report their findings in the same pass.
  state->root = Json::Value();
  const auto error = ParseValue(text, comments, false, &state->root);
  state->parsed = !error;
  const auto duplicates =
      error ? std::vector<DuplicateKey>() : FindDuplicateKeys(text);
  for (const DuplicateKey& duplicate : duplicates) {
    state->Report(duplicate.offset, duplicate.path,
                  "duplicate key, each may stand once");
  }
  if (duplicates.empty()) {
    const SyntaxError& reported = error ? *error : *strict_error;
    state->ReportLine(reported.line, "/",
                      fmt::format("not JSON: {}", reported.text));
  }
  return Document(std::move(state));
}

Node Document::root() const {
  return Node(state_, &state_->root, "/");
}

Node Document::Find(std::string_view path) const {
  Node node = root();
  for (size_t start = 1; start < path.size();) {
    const size_t end = std::min(path.find('/', start), path.size());
    const auto child = node.Child(path.substr(start, end - start));
    if (!child) {
      break;
    }
    node = *child;
    start = end + 1;
  }
  return node;
}

bool Document::parsed() const {
  return state_->parsed;
}

bool Document::ok() const {
  return !state_->has_errors;
}

Findings Document::findings() const {
  return state_->SortedFindings();
}

}  // namespace filbertwick::json

#include "filbertwick/tool/change.h"

#include <fmt/format.h>

#include "filbertwick/json/text_writer.h"

namespace filbertwick::tool {
namespace {

json::TextWriter& BeginChange(const ChangeOptions& options,
                              json::TextWriter& writer) {
  return writer.BeginObject()
      .Member("change", options.change)
      .Member("author", options.author);
}

}  // namespace

void ChangeOptions::AddOptions(std::vector<Option>& options) {
  options.push_back(
      TextOption("author", "NAME", "who makes the change, else USER", author));
  options.push_back(TextOption(
      "change", "ID", "repeat a change under its id; it is made once", change));
}

void ChangeOptions::FillDefaults(const Environment& environment) {
  if (author.empty()) {
    author = environment.variable("USER");
  }
  if (author.empty()) {
    author = "operator";
  }
  if (change.empty()) {
    change =
        fmt::format("{}-{:016x}", author.substr(0, 40), environment.random());
  }
}

std::string FormatChange(const ChangeOptions& options,
                         const wire::PublishBundle& publish) {
  json::TextWriter writer;
  BeginChange(options, writer)
      .Key("publish")
      .BeginObject()
      .Member("version", publish.version)
      .Member("based_on", publish.based_on)
      .Member("text", publish.text)
      .EndObject()
      .EndObject();
  return writer.Take();
}

std::string FormatChange(const ChangeOptions& options,
                         const wire::SetZone& zone) {
  json::TextWriter writer;
  BeginChange(options, writer)
      .Key("zone")
      .BeginObject()
      .Member("name", zone.zone)
      .Member("out", zone.out)
      .EndObject()
      .EndObject();
  return writer.Take();
}

}  // namespace filbertwick::tool

#include "filbertwick/bundle/diff.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <span>
#include <string_view>

#include "filbertwick/bundle/fields.h"

namespace filbertwick::bundle {
namespace {

using Lines = std::vector<std::string>;

/// Appends a line for each field that differs. `from` and `to` must hold the
/// same fields in the same order.
void DiffFields(std::string_view part,
                std::span<const Field> from,
                std::span<const Field> to,
                Lines& lines) {
  for (size_t i = 0; i < from.size(); ++i) {
    if (from[i].text != to[i].text) {
      lines.push_back(fmt::format("{}: {} {} -> {}", part, from[i].name,
                                  from[i].text, to[i].text));
    }
  }
}

std::string DescribeFields(std::span<const Field> fields) {
  std::string text;
  for (const Field& field : fields) {
    fmt::format_to(std::back_inserter(text), "{}{} {}",
                   text.empty() ? "" : "; ", field.name, field.text);
  }
  return text;
}

/// Returns the item of `items` with the name of `item`, or null.
template <typename Item>
const Item* FindByName(std::span<const Item> items, const Item& item) {
  const auto it = std::ranges::find(items, item.name, &Item::name);
  return it == items.end() ? nullptr : &*it;
}

/// Appends lines for the removed, changed and added items of two lists, matched
/// by name.
template <typename Item>
void DiffItems(std::string_view kind,
               std::span<const Item> from,
               std::span<const Item> to,
               Lines& lines) {
  for (const Item& item : from) {
    const std::string part = fmt::format("{} {}", kind, item.name.value());
    if (const Item* match = FindByName(to, item)) {
      DiffFields(part, FieldsOf(item), FieldsOf(*match), lines);
    } else {
      lines.push_back(part + ": removed");
    }
  }
  for (const Item& item : to) {
    if (FindByName(from, item) == nullptr) {
      lines.push_back(fmt::format("{} {}: added, {}", kind, item.name.value(),
                                  DescribeFields(FieldsOf(item))));
    }
  }
}

}  // namespace

std::vector<std::string> DiffBundles(const Bundle& from, const Bundle& to) {
  Lines lines;
  DiffFields("bundle", FieldsOf(from), FieldsOf(to), lines);
  DiffItems<Zone>("zone", from.zones, to.zones, lines);
  DiffItems<Service>("service", from.services, to.services, lines);
  DiffItems<Team>("team", from.teams, to.teams, lines);
  return lines;
}

}  // namespace filbertwick::bundle

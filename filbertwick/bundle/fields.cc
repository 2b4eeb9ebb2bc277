#include "filbertwick/bundle/fields.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <span>

namespace filbertwick::bundle {
namespace {

/// Returns a field whose value counts as a limit.
Field MakeLimitField(std::string_view name, uint64_t value) {
  return {name, std::to_string(value), value};
}

/// Returns a limit in milliseconds.
Field MakeLimitFieldMs(std::string_view name, Duration value) {
  return MakeLimitField(
      name, static_cast<uint64_t>(value / std::chrono::milliseconds(1)));
}

template <typename NameType>
std::string JoinNames(std::span<const NameType> names,
                      std::string_view if_empty) {
  if (names.empty()) {
    return std::string(if_empty);
  }
  std::vector<std::string_view> texts;
  std::ranges::transform(
      names, std::back_inserter(texts),
      [](const NameType& it) -> std::string_view { return it.value(); });
  // The order of names has no meaning; sorting makes equal sets compare equal.
  std::ranges::sort(texts);
  return fmt::format("{}", fmt::join(texts, ", "));
}

}  // namespace

std::vector<Field> FieldsOf(const Bundle& bundle) {
  return {{"generation", std::to_string(bundle.generation), std::nullopt},
          MakeLimitField("capacity", bundle.capacity),
          MakeLimitFieldMs("dedupe_window_ms", bundle.dedupe_window)};
}

std::vector<Field> FieldsOf(const Zone& zone) {
  return {{"region", zone.region.value(), std::nullopt}};
}

std::vector<Field> FieldsOf(const Service& service) {
  return {{"zones", JoinNames<ZoneName>(service.zones, "none"), std::nullopt},
          {"upstreams", JoinNames<InstanceName>(service.upstreams, "any"),
           std::nullopt},
          MakeLimitField("slots", service.slots),
          MakeLimitField("connections", service.connections),
          MakeLimitField("queue", service.queue),
          {"deadline_class", std::string(ToString(service.deadline_class)),
           std::nullopt},
          {"repeatable", service.repeatable ? "true" : "false", std::nullopt},
          MakeLimitFieldMs("task_timeout_ms", service.task_timeout)};
}

std::vector<Field> FieldsOf(const Team& team) {
  return {{"home_region", team.home_region.value(), std::nullopt},
          MakeLimitField("weight", team.weight),
          MakeLimitField("quota", team.quota)};
}

std::string_view ToString(DeadlineClass deadline_class) {
  return deadline_class == DeadlineClass::kUrgent ? "urgent" : "bulk";
}

}  // namespace filbertwick::bundle

#include "filbertwick/bundle/bundle_reader.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <numeric>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "filbertwick/json/object_reader.h"

namespace filbertwick::bundle {
namespace {

using json::Node;
using json::ObjectReader;
using json::Range;

constexpr Range kVersionRange = {1, UINT64_MAX};
constexpr Range kGenerationRange = {1, UINT32_MAX};
constexpr Range kZoneCountRange = {1, 64};
constexpr Range kServiceCountRange = {1, 1'000};
constexpr Range kTeamCountRange = {1, 10'000};
constexpr Range kUpstreamCountRange = {0, 10'000};
constexpr Range kSlotRange = {1, 4'096};
constexpr Range kConnectionRange = {1, 65'535};
constexpr Range kQueueRange = {0, 64};
constexpr Range kTaskTimeoutRangeMs = {1, 3'600'000};
constexpr Range kWeightRange = {1, 1'000};
constexpr Range kQuotaRange = {1, 10'000'000};
constexpr Range kCapacityRange = {1, 1'000'000'000};
constexpr Range kDedupeWindowRangeMs = {1'000, 86'400'000};

constexpr std::array<json::Choice<DeadlineClass>, 2> kDeadlineClassChoices = {
    {{"urgent", DeadlineClass::kUrgent}, {"bulk", DeadlineClass::kBulk}}};

/// Reports an error if `name` is already in `seen`, otherwise adds it.
template <typename NameType>
void CheckUnique(const ObjectReader& reader,
                 const NameType& name,
                 std::set<NameType>& seen) {
  if (!name.empty() && !seen.insert(name).second) {
    reader.At("name").Report(
        fmt::format("\"{}\" is used twice, names must differ", name.value()));
  }
}

/// Reports an error at `node` if `name` is not in `known`. Empty names are
/// skipped, since the getter has already reported them.
template <typename NameType>
void CheckKnown(const Node& node,
                const NameType& name,
                const std::set<NameType>& known) {
  if (name.empty() || known.contains(name)) {
    return;
  }
  std::vector<std::string_view> allowed;
  std::ranges::transform(
      known, std::back_inserter(allowed),
      [](const NameType& it) -> std::string_view { return it.value(); });
  node.Report(fmt::format("\"{}\" is not known, allowed are {}", name.value(),
                          fmt::join(allowed, ", ")));
}

/// Reads one bundle. Remembers zone and region names to validate the references
/// in services and teams, so zones are read first.
class BundleReader {
 public:
  explicit BundleReader(const json::Document& document)
      : reader_(document.root()) {}

  Bundle Read() {
    ReadVersions();
    ReadZones();
    ReadServices();
    ReadTeams();
    ReadLimits();
    reader_.Finish();
    return std::move(bundle_);
  }

 private:
  void ReadVersions() {
    bundle_.version = reader_.Integer<uint64_t>("version", kVersionRange);
    bundle_.based_on = reader_.Integer<uint64_t>("based_on", {});
    bundle_.generation = reader_.Integer<uint32_t>(
        "generation", kGenerationRange, bundle_.generation);
    if (bundle_.based_on >= bundle_.version) {
      reader_.At("based_on")
          .Report(fmt::format(
              "based_on must be lower than the version, which is {}",
              bundle_.version));
    }
  }

  void ReadZones() {
    for (const Node& node : reader_.Array("zones", kZoneCountRange)) {
      ObjectReader reader(node);
      Zone zone;
      zone.name = reader.ReadName<ZoneName>("name");
      zone.region = reader.ReadName<RegionName>("region");
      CheckUnique(reader, zone.name, zones_);
      if (!zone.region.empty()) {
        regions_.insert(zone.region);
      }
      reader.Finish();
      bundle_.zones.push_back(std::move(zone));
    }
  }

  void ReadServices() {
    std::set<ServiceName> seen;
    for (const Node& node : reader_.Array("services", kServiceCountRange)) {
      ObjectReader reader(node);
      bundle_.services.push_back(ReadService(reader));
      CheckUnique(reader, bundle_.services.back().name, seen);
      reader.Finish();
    }
  }

  Service ReadService(ObjectReader& reader) const {
    Service service;
    service.name = reader.ReadName<ServiceName>("name");
    service.zones = reader.Names<ZoneName>("zones", kZoneCountRange);
    service.upstreams =
        reader.Names<InstanceName>("upstreams", kUpstreamCountRange);
    service.slots =
        reader.Integer<uint32_t>("slots", kSlotRange, service.slots);
    service.connections = reader.Integer<uint32_t>(
        "connections", kConnectionRange, service.connections);
    service.queue =
        reader.Integer<uint32_t>("queue", kQueueRange, service.queue);
    service.deadline_class = reader.ReadChoice<DeadlineClass>(
        "deadline_class", kDeadlineClassChoices, service.deadline_class);
    service.repeatable = reader.Boolean("repeatable", service.repeatable);
    service.task_timeout = reader.Milliseconds(
        "task_timeout_ms", kTaskTimeoutRangeMs, service.task_timeout);
    for (const ZoneName& zone : service.zones) {
      CheckKnown(reader.At("zones"), zone, zones_);
    }
    if (service.connections < service.slots) {
      reader.At("connections")
          .Report(fmt::format(
              "connections must be at least the slots, which are {}",
              service.slots));
    }
    return service;
  }

  void ReadTeams() {
    std::set<TeamName> seen;
    for (const Node& node : reader_.Array("teams", kTeamCountRange)) {
      ObjectReader reader(node);
      Team team;
      team.name = reader.ReadName<TeamName>("name");
      team.home_region = reader.ReadName<RegionName>("home_region");
      team.weight =
          reader.Integer<uint32_t>("weight", kWeightRange, team.weight);
      team.quota = reader.Integer<uint32_t>("quota", kQuotaRange, team.quota);
      CheckUnique(reader, team.name, seen);
      CheckKnown(reader.At("home_region"), team.home_region, regions_);
      reader.Finish();
      bundle_.teams.push_back(std::move(team));
    }
  }

  void ReadLimits() {
    bundle_.capacity =
        reader_.Integer<uint64_t>("capacity", kCapacityRange, bundle_.capacity);
    bundle_.dedupe_window = reader_.Milliseconds(
        "dedupe_window_ms", kDedupeWindowRangeMs, bundle_.dedupe_window);
    CheckDedupeWindow();
    CheckQuotas();
  }

  /// Reports an error if job ids are kept for less than the longest run time of
  /// a task: a job id that expires earlier would let a resubmission start a
  /// task that is still running.
  void CheckDedupeWindow() {
    const auto longest =
        std::ranges::max_element(bundle_.services, {}, &Service::task_timeout);
    if (longest == bundle_.services.end() ||
        longest->task_timeout <= bundle_.dedupe_window) {
      return;
    }
    reader_.At("dedupe_window_ms")
        .Report(
            fmt::format("dedupe_window_ms must be at least the longest "
                        "task_timeout_ms, which is "
                        "{}",
                        longest->task_timeout / std::chrono::milliseconds(1)));
  }

  /// Warns if the quotas of all teams together exceed the capacity.
  void CheckQuotas() {
    const uint64_t sum = std::transform_reduce(
        bundle_.teams.begin(), bundle_.teams.end(), uint64_t{0}, std::plus(),
        [](const Team& team) { return team.quota; });
    if (sum > bundle_.capacity) {
      reader_.At("teams").Report(
          fmt::format("the quotas add up to {}, above the capacity of {}", sum,
                      bundle_.capacity),
          Severity::kWarning);
    }
  }

  ObjectReader reader_;
  Bundle bundle_;
  std::set<ZoneName> zones_;
  std::set<RegionName> regions_;
};

}  // namespace

Bundle ReadBundle(const json::Document& document) {
  return BundleReader(document).Read();
}

}  // namespace filbertwick::bundle

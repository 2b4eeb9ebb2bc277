#include <initializer_list>
#include <utility>

#include "filbertwick/harness/load_replay.h"

namespace filbertwick::harness {
namespace {

constexpr Duration kMilli = std::chrono::milliseconds(1);

/// Thousandths of a core.
constexpr uint32_t kSmallEntry = 120;
constexpr uint32_t kLargeEntry = 500;

/// A number of like entries in a zone.
struct EntryGroup {
  uint32_t zone = 0;
  uint32_t processor_millis = 0;
  uint32_t count = 0;
};

void AddUnequalEntries(std::initializer_list<EntryGroup> groups,
                       LoadPattern& pattern) {
  using std::chrono::microseconds;
  for (const EntryGroup& group : groups) {
    pattern.entry_models.insert(pattern.entry_models.end(), group.count,
                                {group.zone, group.processor_millis});
  }
  pattern.entries = static_cast<uint32_t>(pattern.entry_models.size());
  pattern.load_sharing = true;
  pattern.entry_costs = {microseconds(400), microseconds(40), microseconds(40),
                         std::chrono::nanoseconds(100)};
}

}  // namespace

LoadPattern TicketSalesLoad(double scale) {
  LoadPattern pattern;
  pattern.kinds = {
      {"hold", 40 * scale, 8, 60 * kMilli, 1600, 0, 4, 0.0291},
      {"checkout", 7.3 * scale, 4, 900 * kMilli, 1600, 2, 2, 0.16},
      {"scan", 117 * scale, 2, 200 * kMilli, 1600, 1, 2, 0.01},
  };
  return pattern;
}

LoadPattern ManyEntriesLoad(double scale) {
  constexpr uint32_t kSidecars = 53;
  LoadPattern pattern;
  pattern = TicketSalesLoad(scale * kSidecars /
                            static_cast<double>(pattern.sidecars));
  pattern.sidecars = kSidecars;
  pattern.entries = 8;
  pattern.length = 4000 * kMilli;
  return pattern;
}

LoadPattern UnevenEntriesLoad() {
  LoadPattern pattern;
  pattern.kinds = {
      {"hold", 70, 8, 51 * kMilli, 5000, 0, 2, 0.0291},
      {"checkout", 13, 4, 760 * kMilli, 5000, 2, 4, 0.16},
      {"scan", 204, 2, 170 * kMilli, 5000, 1, 2, 0.01},
  };
  pattern.length = 17'000 * kMilli;
  AddUnequalEntries(
      {{0, kSmallEntry, 2}, {1, kLargeEntry, 2}, {2, kLargeEntry, 2}}, pattern);
  pattern.zones = {{0.45, 0.55, 17'000 * kMilli, 0},
                   {0.275, 0.55, 17'000 * kMilli, 1.0 / 3},
                   {0.275, 0.55, 17'000 * kMilli, 2.0 / 3}};
  pattern.sidecars = 21;
  pattern.cpu_millis_per_upstream = 64'000;
  pattern.upstream_kinds = {{"standard", 2, 1, 1}, {"large", 1, 1.5, 1.2}};
  pattern.zone_latency = kMilli * 7 / 5;
  pattern.caller_latency = 3 * kMilli;
  pattern.events = {
      {LoadEvent::Type::kBurst, 3000 * kMilli, 3000 * kMilli, 1.7}};
  return pattern;
}

LoadPattern HalfAwayLoad() {
  using Type = LoadEvent::Type;
  constexpr Duration kAwayAt = 3000 * kMilli;
  constexpr Duration kAwayFor = 6000 * kMilli;
  constexpr size_t kLongKind = 1;
  LoadPattern pattern;
  pattern.kinds = {
      {"hold", 103, 8, 60 * kMilli, 2800, 0, 2, 0.0291},
      {"checkout", 18.8, 4, 900 * kMilli, 2800, 2, 4, 0.16},
      {"scan", 300, 2, 200 * kMilli, 2800, 1, 2, 0.01},
  };
  pattern.length = 12'000 * kMilli;
  AddUnequalEntries({{0, kLargeEntry, 2},
                     {0, kSmallEntry, 2},
                     {1, kLargeEntry, 2},
                     {1, kSmallEntry, 1},
                     {2, kLargeEntry, 2},
                     {2, kSmallEntry, 1}},
                    pattern);
  pattern.zones = {{1, 0.15, 11'000 * kMilli, 0},
                   {1, 0.15, 11'000 * kMilli, 1.0 / 3},
                   {1, 0.15, 11'000 * kMilli, 2.0 / 3}};
  pattern.sidecars = 30;
  pattern.cpu_millis_per_upstream = 32'000;
  pattern.upstream_kinds = {{"standard", 2, 1, 1}, {"large", 1, 1.5, 1}};
  pattern.zone_latency = kMilli / 2;
  pattern.caller_latency = 3 * kMilli;
  const uint32_t away = pattern.sidecars / 2;
  pattern.events = {
      {Type::kLost, kAwayAt, kAwayFor, 1, away},
      {.type = Type::kBurst,
       .at = kAwayAt,
       .length = kAwayFor,
       .factor = 2.3,
       .kind = kLongKind},
      {Type::kLeavingCallers, kAwayAt, kAwayFor, 1.0 / 3},
      {Type::kFailing, kAwayAt, kAwayFor, 1, 1, away},
      {Type::kFailing, kAwayAt, kAwayFor, 1.0 / 3, 1, away + 1, 0},
  };
  return pattern;
}

std::vector<NamedLoad> NamedLoads() {
  using Type = LoadEvent::Type;
  constexpr Duration kAt = 2000 * kMilli;
  constexpr Duration kLength = 6000 * kMilli;
  std::vector<NamedLoad> loads;
  const auto add = [&](std::string name, double scale,
                       std::vector<LoadEvent> events) {
    LoadPattern pattern = TicketSalesLoad(scale);
    pattern.events = std::move(events);
    loads.push_back({std::move(name), std::move(pattern)});
  };
  add("calm", 1, {});
  add("near-capacity", 1.18, {});
  add("overload", 1.4, {});
  add("burst", 1, {{Type::kBurst, kAt, kLength / 2, 1.4}});
  add("slow", 1.05, {{Type::kSlow, kAt, kLength, 5.4, 2}});
  add("failing", 1, {{Type::kFailing, kAt, kLength, 1, 2}});
  add("hanging", 1, {{Type::kHanging, kAt, kLength, 1, 2}});
  add("lost", 1, {{Type::kLost, kAt, kLength, 1, 2}});
  add("late-commands", 1, {{Type::kLateCommands, kAt, kLength, 0.1}});
  add("late-and-hanging", 1,
      {{Type::kLateCommands, kAt, kLength, 0.05},
       {Type::kHanging, kAt, kLength, 1, 2}});
  add("leaving-callers", 1.1, {{Type::kLeavingCallers, kAt, kLength, 0.4}});
  add("crashing-tasks", 1, {{Type::kCrashingTasks, kAt, kLength, 0.1}});
  add("power-loss", 1, {{Type::kPowerLoss, 2 * kAt, 500 * kMilli, 0}});
  for (const auto& [name, scale] :
       {std::pair{"many-entries", 1.0}, std::pair{"many-entries-near", 1.28},
        std::pair{"many-entries-over", 1.58}}) {
    loads.push_back({name, ManyEntriesLoad(scale)});
  }
  loads.push_back({"uneven-entries", UnevenEntriesLoad()});
  loads.push_back({"half-away", HalfAwayLoad()});
  return loads;
}

}  // namespace filbertwick::harness

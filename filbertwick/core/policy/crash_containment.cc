#include "filbertwick/core/policy/crash_containment.h"

#include <algorithm>
#include <ranges>
#include <vector>

#include "filbertwick/base/hash.h"

namespace filbertwick::core::policy {
namespace {

/// How long a queue stays confined after the last crash of which one of its
/// tasks is a suspect; longer than a crashed upstream takes to return.
constexpr Duration kConfinement = std::chrono::seconds(5);
/// How long the crashes of a task are remembered; longer than its caller waits.
constexpr Duration kMemory = std::chrono::seconds(10);
/// The zone is this fraction of the upstreams.
constexpr size_t kZoneDivisor = 4;

}  // namespace

bool CrashContainment::OnCrash(Instant at,
                               std::string_view task,
                               std::string_view queue,
                               uint32_t suspects) {
  std::erase_if(suspects_, [at](const auto& item) {
    return at - item.second.last_crash > kMemory;
  });
  std::erase_if(confined_until_,
                [at](const auto& item) { return item.second <= at; });
  Suspect& suspect = suspects_[std::string(task)];
  suspect.budget.OnCrash(suspects);
  suspect.last_crash = std::max(suspect.last_crash, at);
  const bool was_confined = IsConfined(at, queue);
  if (!was_confined && !suspect.budget.IsConvicted()) {
    return false;
  }
  Instant& until = confined_until_[std::string(queue)];
  until = std::max(until, at + kConfinement);
  return !was_confined;
}

CrashBudget CrashContainment::BudgetOf(std::string_view task) const {
  const auto it = suspects_.find(task);
  return it != suspects_.end() ? it->second.budget : CrashBudget();
}

bool CrashContainment::IsConfined(Instant now, std::string_view queue) const {
  const auto it = confined_until_.find(queue);
  return it != confined_until_.end() && now < it->second;
}

bool CrashContainment::IsActive(Instant now) const {
  return std::ranges::any_of(confined_until_ | std::views::values,
                             [now](Instant until) { return now < until; });
}

std::set<InstanceName> SelectContainmentZone(
    std::span<const InstanceName> upstreams) {
  std::vector<InstanceName> ranked(upstreams.begin(), upstreams.end());
  std::ranges::sort(ranked, {}, [](const InstanceName& name) {
    return std::pair(Hash64(name.value()), name);
  });
  const size_t size =
      std::max<size_t>(ranked.size() / kZoneDivisor, ranked.empty() ? 0 : 1);
  return {ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(size)};
}

}  // namespace filbertwick::core::policy

#ifndef FILBERTWICK_CORE_POLICY_CRASH_CONTAINMENT_H_
#define FILBERTWICK_CORE_POLICY_CRASH_CONTAINMENT_H_

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/policy/crash_budget.h"

namespace filbertwick::core::policy {

/// Decides which queues are confined to a part of the upstreams, because their
/// tasks crash them. Where every tenth job of one queue crashes each upstream
/// that starts it, no limit on the crashes of a single task saves the others:
/// an upstream takes seconds to return, and a new such job arrives every
/// fraction of a second. Confined to a quarter of the upstreams, they leave the
/// rest to the other queues.
///
/// A queue is confined once two upstreams have crashed right after the start of
/// the same task (CrashBudget::IsConvicted()). Upstreams that crash for other
/// reasons do not do that.
class CrashContainment {
 public:
  /// Records that `task`, a task of `queue`, is one of `suspects` of a crash at
  /// `at`, which may be some seconds ago. Returns true when this confines the
  /// queue.
  bool OnCrash(Instant at,
               std::string_view task,
               std::string_view queue,
               uint32_t suspects);
  /// Returns the crashes recorded for a task, whichever entry started it.
  CrashBudget BudgetOf(std::string_view task) const;
  /// Returns true while the tasks of the queue must stay in the zone.
  bool IsConfined(Instant now, std::string_view queue) const;
  /// Returns true while the tasks of any queue must stay in the zone.
  bool IsActive(Instant now) const;

 private:
  struct Suspect {
    CrashBudget budget;
    Instant last_crash;
  };

  /// By task name; crashes that are older than kMemory are forgotten.
  std::map<std::string, Suspect, std::less<>> suspects_;
  std::map<std::string, Instant, std::less<>> confined_until_;
};

/// Selects the upstreams for confined tasks: a quarter of them, at least one.
/// Every entry selects the same ones.
std::set<InstanceName> SelectContainmentZone(
    std::span<const InstanceName> upstreams);

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_CRASH_CONTAINMENT_H_

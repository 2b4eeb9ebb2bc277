#include "filbertwick/core/policy/capacity_grants.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>
#include <utility>

namespace filbertwick::core::policy {
namespace {

using direct::Resources;

/// Longest time that a claim is taken to be from its deadline.
constexpr Duration kMaxTimeLeft = std::chrono::hours(1);

/// Returns the smaller amount in each dimension.
Resources Min(const Resources& a, const Resources& b) {
  return {std::min(a.cpu_millis, b.cpu_millis),
          std::min(a.memory_mb, b.memory_mb), std::min(a.gpus, b.gpus)};
}

}  // namespace

CapacityGrants::Rank CapacityGrants::RankOf(Instant now,
                                            const InstanceName& entry,
                                            const PendingClaim& claim) {
  return {!claim.claim.has_run, claim.deadline <= now, claim.claim.priority,
          claim.deadline, entry};
}

CapacityGrants::PendingClaim* CapacityGrants::FirstFitting(
    EntryState& state,
    const Resources& unreserved) {
  const auto it =
      std::ranges::find_if(state.claims, [&](const PendingClaim& claim) {
        return claim.tasks_left > 0 && unreserved.Covers(claim.claim.needs);
      });
  return it == state.claims.end() ? nullptr : &*it;
}

Resources CapacityGrants::Sum(const EntryState& state) {
  return std::accumulate(state.reservations.begin(), state.reservations.end(),
                         Resources(),
                         [](const Resources& sum, const Reservation& it) {
                           return sum + it.left;
                         });
}

void CapacityGrants::SetClaims(Instant now,
                               const InstanceName& entry,
                               std::span<const direct::Claim> claims,
                               Instant alive_at) {
  const auto is_specific = [](const direct::Claim& claim) {
    return !claim.MatchesEverything() && claim.needs.Covers(Resources());
  };
  const auto found = entries_.find(entry);
  if (std::ranges::none_of(claims, is_specific)) {
    if (found != entries_.end()) {
      found->second.claims.clear();
      found->second.reservations.clear();
    }
    return;
  }
  if (found != entries_.end() && alive_at < found->second.lapsed_grant) {
    return;
  }
  EntryState& state = entries_[entry];
  // The entry has not answered these grants: they are for its first tasks.
  uint32_t granted = std::accumulate(
      state.reservations.begin(), state.reservations.end(), 0u,
      [](uint32_t sum, const Reservation& it) { return sum + it.tasks_left; });
  state.claims.clear();
  for (const direct::Claim& claim : claims | std::views::filter(is_specific) |
                                        std::views::take(direct::kMaxClaims)) {
    const uint32_t tasks = std::min(claim.tasks, direct::kMaxTasksOfClaim);
    const uint32_t covered = std::min(granted, tasks);
    granted -= covered;
    const Duration time_left =
        std::clamp(Duration(claim.time_left_micros), Duration(0), kMaxTimeLeft);
    state.claims.push_back({claim, now + time_left, tasks - covered});
  }
}

void CapacityGrants::OnAnswered(const InstanceName& entry, Instant echo) {
  const auto it = entries_.find(entry);
  if (it == entries_.end()) {
    return;
  }
  const size_t unused = std::erase_if(it->second.reservations,
                                      [echo](const Reservation& reservation) {
                                        return reservation.granted_at <= echo;
                                      });
  if (unused > 0) {
    it->second.pause = Duration(0);
  }
  figures_.declined += unused;
  it->second.declined |= unused > 0;
}

void CapacityGrants::Remove(const InstanceName& entry) {
  entries_.erase(entry);
}

void CapacityGrants::OnFreed() {
  open_to_all_ = false;
  for (EntryState& state : entries_ | std::views::values) {
    state.declined = false;
  }
}

std::vector<InstanceName> CapacityGrants::Grant(Instant now,
                                                const Resources& free) {
  std::vector<InstanceName> granted;
  if (entries_.empty() || open_to_all_) {
    return granted;
  }
  Resources unreserved = Unreserved(free);
  std::map<InstanceName, Reservation> added;
  while (true) {
    const InstanceName* best = nullptr;
    PendingClaim* claim = nullptr;
    for (auto& [entry, state] : entries_) {
      PendingClaim* own = state.declined || now < state.paused_until
                              ? nullptr
                              : FirstFitting(state, unreserved);
      if (own != nullptr &&
          (claim == nullptr ||
           RankOf(now, entry, *own) < RankOf(now, *best, *claim))) {
        best = &entry;
        claim = own;
      }
    }
    if (claim == nullptr) {
      break;
    }
    --claim->tasks_left;
    unreserved -= claim->claim.needs;
    const auto [it, is_first] = added.try_emplace(*best);
    it->second.left += claim->claim.needs;
    it->second.granted_at = now;
    ++it->second.tasks_left;
    if (is_first) {
      granted.push_back(*best);
    }
  }
  for (const auto& [entry, reservation] : added) {
    entries_.at(entry).reservations.push_back(reservation);
  }
  figures_.granted += added.size();
  return granted;
}

Resources CapacityGrants::Unreserved(const Resources& free) const {
  return std::accumulate(entries_.begin(), entries_.end(), free,
                         [](const Resources& rest, const auto& it) {
                           return rest - Sum(it.second);
                         });
}

std::vector<InstanceName> CapacityGrants::PausedClaimants(
    Instant now,
    const Resources& free) const {
  const Resources unreserved = Unreserved(free);
  std::vector<InstanceName> paused;
  for (const auto& [entry, state] : entries_) {
    if (now < state.paused_until &&
        std::ranges::any_of(state.claims, [&](const PendingClaim& claim) {
          return unreserved.Covers(claim.claim.needs);
        })) {
      paused.push_back(entry);
    }
  }
  return paused;
}

std::vector<CapacityGrants::Lapse> CapacityGrants::TakeLapsed(Instant now) {
  std::vector<Lapse> lapses;
  for (auto& [entry, state] : entries_) {
    Lapse lapse{entry, {}};
    bool has_lapsed = false;
    while (!state.reservations.empty() &&
           state.reservations.front().granted_at + kGrantLease <= now) {
      has_lapsed = true;
      lapse.unused += state.reservations.front().left;
      state.lapsed_grant = state.reservations.front().granted_at;
      state.reservations.pop_front();
    }
    if (has_lapsed) {
      // Later grants were sent to an entry that does not answer either.
      state.claims.clear();
      state.pause =
          std::clamp(2 * state.pause, kFirstGrantPause, kMaxGrantPause);
      state.paused_until = now + state.pause;
      ++figures_.lapsed;
      lapses.push_back(std::move(lapse));
    }
  }
  open_to_all_ |= !lapses.empty();
  return lapses;
}

Instant CapacityGrants::NextLapse() const {
  Instant next = Instant::max();
  for (const EntryState& state : entries_ | std::views::values) {
    if (!state.reservations.empty()) {
      next =
          std::min(next, state.reservations.front().granted_at + kGrantLease);
    }
  }
  return next;
}

Resources CapacityGrants::ReservedForOthers(const InstanceName& entry) const {
  return std::accumulate(entries_.begin(), entries_.end(), Resources(),
                         [&](const Resources& sum, const auto& it) {
                           return it.first == entry ? sum
                                                    : sum + Sum(it.second);
                         });
}

Resources CapacityGrants::FreeFor(const InstanceName& entry,
                                  const Resources& free) const {
  return free - ReservedForOthers(entry);
}

bool CapacityGrants::MayUse(const InstanceName& entry,
                            const Resources& free,
                            const Resources& needs) {
  const bool may_use = FreeFor(entry, free).Covers(needs);
  figures_.refused += !may_use && free.Covers(needs) ? 1 : 0;
  return may_use;
}

void CapacityGrants::OnUsed(const InstanceName& entry, const Resources& needs) {
  const auto it = entries_.find(entry);
  if (it == entries_.end()) {
    return;
  }
  auto& reservations = it->second.reservations;
  if (!reservations.empty()) {
    it->second.pause = Duration(0);
  }
  Resources rest = needs;
  while (!reservations.empty() && rest != Resources()) {
    Reservation& oldest = reservations.front();
    const Resources taken = Min(oldest.left, rest);
    oldest.left -= taken;
    rest -= taken;
    oldest.tasks_left -= std::min(oldest.tasks_left, 1u);
    if (oldest.tasks_left > 0 && oldest.left != Resources()) {
      return;
    }
    reservations.pop_front();
  }
}

bool CapacityGrants::HasReservation(const InstanceName& entry) const {
  const auto it = entries_.find(entry);
  return it != entries_.end() && !it->second.reservations.empty();
}

std::vector<InstanceName> CapacityGrants::Claimants() const {
  std::vector<InstanceName> entries;
  for (const auto& [entry, state] : entries_) {
    if (!state.claims.empty()) {
      entries.push_back(entry);
    }
  }
  return entries;
}

}  // namespace filbertwick::core::policy

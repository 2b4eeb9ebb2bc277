#ifndef FILBERTWICK_CORE_POLICY_CAPACITY_GRANTS_H_
#define FILBERTWICK_CORE_POLICY_CAPACITY_GRANTS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <tuple>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/claim.h"
#include "filbertwick/core/direct/resources.h"

namespace filbertwick::core::policy {

/// How long freed capacity is reserved for the entry to which it is granted: a
/// round trip of a few milliseconds and a slow wake-up of the entry. A lapsed
/// grant leaves the capacity of its tasks unused for this long.
inline constexpr Duration kGrantLease = std::chrono::milliseconds(20);
/// How long an entry gets no grant after one that lapsed; doubles with every
/// further one until the entry answers in time. Without this pause, two of
/// eight entries that answer after 25 ms leave a twentieth of the capacity
/// unused.
inline constexpr Duration kFirstGrantPause = 4 * kGrantLease;
/// Longest such pause; one lease is then 2% of it.
inline constexpr Duration kMaxGrantPause = 16 * kFirstGrantPause;

/// What CapacityGrants has done; counters that only grow.
struct GrantFigures {
  /// Grants, each for the tasks of one entry.
  uint64_t granted = 0;
  /// Grants of which a part was still unused when the lease ended.
  uint64_t lapsed = 0;
  /// Grants of which the entry, having seen them, did not use a part.
  uint64_t declined = 0;
  /// Tasks refused because the free capacity is reserved for other entries.
  uint64_t refused = 0;
};

/// Decides at a sidecar which entry may use capacity that becomes free.
///
/// The load it addresses: more tasks than the upstreams can run, sent to many
/// entries. When freed capacity is reported to all entries with waiting jobs,
/// the entry whose offer arrives first gets it. Entries with the shortest links
/// then serve all of their jobs, others refuse nearly all, jobs of low priority
/// at one entry go before those of high priority at another, and nearly all
/// reports lead to nothing.
///
/// Each entry claims capacity for its first waiting tasks. Freed capacity is
/// granted to the claims in one order over all entries: jobs that have run,
/// priority, time left. It is reserved for the entry for kGrantLease; others
/// neither see it as free nor may use it. A reservation ends when the entry has
/// used it, has answered without using it, has no claim left, is removed, or
/// when the lease ends. After a lapse, the capacity is open to all entries
/// until more becomes free, and the entry gets no grant for a while, and until
/// it shows that it was alive after the lapsed one: an entry that died, paused
/// or was cut off holds capacity for one lease at most, and one that is always
/// late holds it rarely.
///
/// Pure: times are passed in, and are those of the sidecar's clock.
class CapacityGrants {
 public:
  /// A granted amount that has lapsed.
  struct Lapse {
    InstanceName entry;
    direct::Resources unused;
  };

  /// Replaces the claims of an entry. `alive_at` is the newest time at which
  /// the entry is known to have been alive. Claims are ignored when that is
  /// earlier than its lapsed grant, as are claims that match everything, which
  /// take no part in the order. Without claims, the entry's reservation ends.
  void SetClaims(Instant now,
                 const InstanceName& entry,
                 std::span<const direct::Claim> claims,
                 Instant alive_at);
  /// The entry has received the messages sent up to `echo` and has sent the
  /// offers that it wanted to. If these include its grant, what is left of the
  /// reservation ends, and the entry gets no other grant until capacity becomes
  /// free.
  void OnAnswered(const InstanceName& entry, Instant echo);
  /// Drops the claims and the reservation of an entry whose session has ended.
  void Remove(const InstanceName& entry);

  /// Capacity has become free: entries that declined a grant may get one again.
  void OnFreed();
  /// Grants what is unreserved of `free`, the unused capacity of the upstream.
  /// Returns the entries that got a grant, in the order of their claims.
  std::vector<InstanceName> Grant(Instant now, const direct::Resources& free);
  /// Returns the entries that get no grant for a while, but have a claim that
  /// the unreserved part of `free` covers: they may use it without a grant.
  std::vector<InstanceName> PausedClaimants(
      Instant now,
      const direct::Resources& free) const;
  /// Ends the reservations whose lease has ended, and drops the claims of their
  /// entries.
  std::vector<Lapse> TakeLapsed(Instant now);
  /// Returns when the next lease ends; Instant::max() without reservations.
  Instant NextLapse() const;

  /// Returns the part of `free` that an entry may use.
  direct::Resources FreeFor(const InstanceName& entry,
                            const direct::Resources& free) const;
  /// Returns true when `free` covers a task of an entry without what is
  /// reserved for others. Counts a refusal when only the reservations are in
  /// the way.
  bool MayUse(const InstanceName& entry,
              const direct::Resources& free,
              const direct::Resources& needs);
  /// A task of an entry uses capacity from now on, first that of its
  /// reservation.
  void OnUsed(const InstanceName& entry, const direct::Resources& needs);

  /// Returns true when a part of a grant is reserved for the entry.
  bool HasReservation(const InstanceName& entry) const;
  /// The entries that have claims.
  std::vector<InstanceName> Claimants() const;
  const GrantFigures& figures() const { return figures_; }

 private:
  /// A claim with its deadline on the sidecar's clock.
  struct PendingClaim {
    direct::Claim claim;
    Instant deadline;
    /// Tasks for which capacity was not granted yet.
    uint32_t tasks_left = 0;
  };

  /// Capacity that is kept for an entry.
  struct Reservation {
    direct::Resources left;
    uint32_t tasks_left = 0;
    Instant granted_at;
  };

  struct EntryState {
    /// In the order of the entry.
    std::vector<PendingClaim> claims;
    /// Oldest first.
    std::deque<Reservation> reservations;
    /// It left a grant unused; no other one until capacity becomes free.
    bool declined = false;
    /// Time of its newest lapsed grant.
    Instant lapsed_grant = Instant::min();
    /// Pause after the newest lapse; 0 once the entry has answered a grant in
    /// time.
    Duration pause{0};
    Instant paused_until = Instant::min();
  };

  /// Claims are served by ascending rank: jobs that have run, those that can
  /// still be in time, priority, deadline, and the name of the entry.
  using Rank = std::tuple<bool, bool, uint32_t, Instant, InstanceName>;
  static Rank RankOf(Instant now,
                     const InstanceName& entry,
                     const PendingClaim& claim);
  /// Returns the first claim of an entry that `unreserved` covers, or null.
  static PendingClaim* FirstFitting(EntryState& state,
                                    const direct::Resources& unreserved);
  /// Returns what is left of `free` without all reservations.
  direct::Resources Unreserved(const direct::Resources& free) const;
  static direct::Resources Sum(const EntryState& state);
  /// Returns what is reserved for all entries but this one.
  direct::Resources ReservedForOthers(const InstanceName& entry) const;

  std::map<InstanceName, EntryState> entries_;
  /// A grant has lapsed since capacity became free last: what is free is open
  /// to all.
  bool open_to_all_ = false;
  GrantFigures figures_;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_CAPACITY_GRANTS_H_

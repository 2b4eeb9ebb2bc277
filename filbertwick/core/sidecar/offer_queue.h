#ifndef FILBERTWICK_CORE_SIDECAR_OFFER_QUEUE_H_
#define FILBERTWICK_CORE_SIDECAR_OFFER_QUEUE_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::core {

/// An offer that waits for a slot.
struct QueuedOffer {
  InstanceName owner;
  wire::TaskOffer offer;
};

/// The few offers that wait at a sidecar, first come first served, and the
/// withdrawn ones whose offers may still be on their way.
class OfferQueue {
 public:
  /// Adds an offer at the end.
  void Push(QueuedOffer item);
  /// Takes the first offer.
  std::optional<QueuedOffer> Pop();
  /// Takes out the offers for which `unfit` holds.
  std::vector<QueuedOffer> ExtractIf(
      const std::function<bool(const QueuedOffer&)>& predicate);
  /// The queued offer of a task, or null.
  const QueuedOffer* Find(const wire::TaskKey& key) const;
  /// Makes the tokens of an owner's offers at least `token`.
  void RenewTokens(const InstanceName& owner, wire::ClockToken token);

  /// Remembers until `until` that offers of a task up to `attempt` are dead.
  void MarkWithdrawn(const wire::TaskKey& key, uint32_t attempt, Instant until);
  /// True when an offer was withdrawn before it came.
  bool IsWithdrawn(const wire::TaskKey& key, uint32_t attempt) const;
  /// Forgets withdrawals whose time has passed.
  void Expire(Instant now);

  /// Offers that wait.
  size_t size() const { return items_.size(); }

 private:
  /// A withdrawal that came before its offer.
  struct Withdrawn {
    uint32_t attempt = 0;
    Instant until;
  };

  std::deque<QueuedOffer> items_;
  std::map<wire::TaskKey, Withdrawn> withdrawn_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_SIDECAR_OFFER_QUEUE_H_

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

/// An offer waiting for a free slot, with the entry that sent it.
struct QueuedOffer {
  InstanceName owner;
  wire::TaskOffer offer;
};

/// FIFO queue of the offers waiting at a sidecar. Also remembers which attempts
/// were withdrawn or refused, because an offer or a delayed copy of it may
/// still arrive. The queue bound of the service keeps the queue short, so
/// searches are linear.
class OfferQueue {
 public:
  /// Appends an offer.
  void Push(QueuedOffer item);
  /// Removes and returns the first offer; nullopt when the queue is empty.
  std::optional<QueuedOffer> Pop();
  /// Removes and returns the offers that satisfy the predicate, in queue order.
  std::vector<QueuedOffer> ExtractIf(
      const std::function<bool(const QueuedOffer&)>& predicate);
  /// Returns the queued offer of a task, or null.
  const QueuedOffer* Find(const wire::TaskKey& key) const;
  /// Raises the clock tokens of all offers of an owner to at least `token`.
  void RenewTokens(const InstanceName& owner, wire::ClockToken token);

  /// Marks the attempts of a task up to `attempt` as withdrawn or refused. The
  /// mark expires at `until`.
  void MarkWithdrawn(const wire::TaskKey& key, uint32_t attempt, Instant until);
  /// True when this attempt is marked as withdrawn or refused, so that an offer
  /// that arrives now must not start the task.
  bool IsWithdrawn(const wire::TaskKey& key, uint32_t attempt) const;
  /// Drops the marks that have expired.
  void Expire(Instant now);

  /// Number of queued offers.
  size_t size() const { return items_.size(); }

 private:
  /// Withdrawn or refused attempts of a task.
  struct Withdrawn {
    /// Highest of these attempts; all lower ones are marked too.
    uint32_t attempt = 0;
    /// When the mark expires.
    Instant until;
  };

  std::deque<QueuedOffer> items_;
  std::map<wire::TaskKey, Withdrawn> withdrawn_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_SIDECAR_OFFER_QUEUE_H_

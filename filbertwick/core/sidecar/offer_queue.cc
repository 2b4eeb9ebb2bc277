#include "filbertwick/core/sidecar/offer_queue.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace filbertwick::core {

void OfferQueue::Push(QueuedOffer item) {
  items_.push_back(std::move(item));
}

std::optional<QueuedOffer> OfferQueue::Pop() {
  if (items_.empty()) {
    return std::nullopt;
  }
  QueuedOffer item = std::move(items_.front());
  items_.pop_front();
  return item;
}

std::vector<QueuedOffer> OfferQueue::ExtractIf(
    const std::function<bool(const QueuedOffer&)>& predicate) {
  std::vector<QueuedOffer> taken;
  const auto begin =
      std::stable_partition(items_.begin(), items_.end(),
                            [&](const auto& item) { return !predicate(item); });
  std::move(begin, items_.end(), std::back_inserter(taken));
  items_.erase(begin, items_.end());
  return taken;
}

const QueuedOffer* OfferQueue::Find(const wire::TaskKey& key) const {
  const auto it = std::ranges::find_if(
      items_, [&](const QueuedOffer& item) { return item.offer.key == key; });
  return it == items_.end() ? nullptr : &*it;
}

void OfferQueue::RenewTokens(const InstanceName& owner,
                             wire::ClockToken token) {
  for (QueuedOffer& item : items_) {
    if (item.owner == owner) {
      item.offer.token = std::max(item.offer.token, token);
    }
  }
}

void OfferQueue::MarkWithdrawn(const wire::TaskKey& key,
                               uint32_t attempt,
                               Instant until) {
  Withdrawn& withdrawn = withdrawn_[key];
  withdrawn.attempt = std::max(withdrawn.attempt, attempt);
  withdrawn.until = until;
}

bool OfferQueue::IsWithdrawn(const wire::TaskKey& key, uint32_t attempt) const {
  const auto it = withdrawn_.find(key);
  return it != withdrawn_.end() && attempt <= it->second.attempt;
}

void OfferQueue::Expire(Instant now) {
  std::erase_if(withdrawn_,
                [&](const auto& item) { return item.second.until <= now; });
}

}  // namespace filbertwick::core

#include "filbertwick/core/direct/offer_split.h"

#include <utility>

#include "filbertwick/wire/archive.h"

namespace filbertwick::core::direct {
namespace {

/// Upper bound of the encoded size of an offered task and of the offer's
/// numbers, in bytes.
constexpr size_t kMaxTaskBytes = 512;
static_assert(kMaxOfferTextBytes + 2 * kMaxTaskBytes <= kMaxOfferBytes);

}  // namespace

std::vector<Offer> SplitOffer(Offer offer) {
  std::vector<Offer> parts;
  if (wire::EncodedSize(offer) + sizeof(offer.id) <= kMaxOfferBytes) {
    parts.push_back(std::move(offer));
    return parts;
  }
  std::vector<OfferedTask> tasks = std::exchange(offer.tasks, {});
  const size_t empty_bytes = wire::EncodedSize(offer) + kMaxTaskBytes;
  size_t bytes = 0;
  for (OfferedTask& task : tasks) {
    const size_t task_bytes = wire::EncodedSize(task);
    if (parts.empty() || bytes + task_bytes > kMaxOfferBytes) {
      parts.push_back(offer);
      bytes = empty_bytes;
    }
    bytes += task_bytes;
    parts.back().tasks.push_back(std::move(task));
  }
  return parts;
}

bool FitsIntoOffers(const JobRequest& job) {
  return job.spec.size() + job.service.size() + job.queue.size() <=
         kMaxOfferTextBytes;
}

}  // namespace filbertwick::core::direct

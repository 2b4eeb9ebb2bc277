#ifndef FILBERTWICK_CORE_DIRECT_OFFER_SPLIT_H_
#define FILBERTWICK_CORE_DIRECT_OFFER_SPLIT_H_

#include <cstddef>
#include <vector>

#include "filbertwick/core/direct/job_request.h"
#include "filbertwick/core/direct/message.h"
#include "filbertwick/core/policy/message_budget.h"

namespace filbertwick::core::direct {

/// Maximum encoded size of an offer, in bytes.
inline constexpr size_t kMaxOfferBytes = 12 * 1024;
static_assert(kMaxOfferBytes <= policy::kMaxPartBytes);
/// Maximum size of the spec, service and queue of a job together, in bytes. The
/// rest of an offer is left to one task.
inline constexpr size_t kMaxOfferTextBytes = 11 * 1024;

/// Splits an offer by its tasks into offers of at most kMaxOfferBytes. Their
/// ids are left to the caller.
std::vector<Offer> SplitOffer(Offer offer);

/// Returns true when the texts of the job take at most kMaxOfferTextBytes, so
/// that an offer of a single task fits. Other jobs can't be run.
bool FitsIntoOffers(const JobRequest& job);

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_OFFER_SPLIT_H_

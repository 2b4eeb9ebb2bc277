#include "filbertwick/core/outbox.h"

#include <utility>

namespace filbertwick::core {
namespace {

/// Appends a SendEffect for each message of one kind and clears `batches`.
template <typename Batch>
void FlushBatch(std::map<InstanceName, Batch>& batches, Effects& effects) {
  for (auto& [name, batch] : batches) {
    effects.push_back(SendEffect{name, std::move(batch)});
  }
  batches.clear();
}

}  // namespace

void Outbox::AddOffer(const InstanceName& to,
                      wire::Incarnation incarnation,
                      wire::TaskOffer offer) {
  wire::Offers& batch = offers_[to];
  batch.incarnation = incarnation;
  batch.offers.push_back(std::move(offer));
}

void Outbox::AddUpdate(const InstanceName& to, wire::TaskUpdate update) {
  updates_[to].updates.push_back(std::move(update));
}

void Outbox::AddWithdrawal(const InstanceName& to,
                           wire::TaskWithdrawal withdrawal) {
  withdrawals_[to].tasks.push_back(std::move(withdrawal));
}

void Outbox::AddAcknowledge(const InstanceName& to, wire::TaskKey key) {
  acknowledged_[to].keys.push_back(std::move(key));
}

void Outbox::AddCensusRequest(const InstanceName& to,
                              const wire::ShardEpoch& shard,
                              const JobId& job) {
  wire::CensusRequest& request = census_[to][shard.shard];
  request.shard = shard.shard;
  request.epoch = shard.epoch;
  request.jobs.push_back(job);
}

void Outbox::Flush(const wire::Load& load,
                   wire::ClockToken token,
                   Effects& effects) {
  for (auto& [name, batch] : updates_) {
    batch.load = load;
    batch.token = token;
  }
  FlushBatch(updates_, effects);
  FlushBatch(withdrawals_, effects);
  FlushBatch(acknowledged_, effects);
  for (auto& [name, requests] : census_) {
    for (auto& [shard, request] : requests) {
      effects.push_back(SendEffect{name, std::move(request)});
    }
  }
  census_.clear();
  FlushBatch(offers_, effects);
}

}  // namespace filbertwick::core

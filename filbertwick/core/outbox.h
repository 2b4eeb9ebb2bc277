#ifndef FILBERTWICK_CORE_OUTBOX_H_
#define FILBERTWICK_CORE_OUTBOX_H_

#include <map>

#include "filbertwick/base/name.h"
#include "filbertwick/core/effect.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::core {

/// Gathers what one event sends to each instance, so that it leaves as one
/// message of each kind.
class Outbox {
 public:
  /// Adds an offer for the incarnation of a sidecar.
  void AddOffer(const InstanceName& to,
                wire::Incarnation incarnation,
                wire::TaskOffer offer);
  /// Adds news of a task for an owner.
  void AddUpdate(const InstanceName& to, wire::TaskUpdate update);
  /// Adds a withdrawal.
  void AddWithdrawal(const InstanceName& to, wire::TaskWithdrawal withdrawal);
  /// Adds the word that a result is known.
  void AddSettle(const InstanceName& to, wire::TaskKey key);
  /// Adds a question about a job of a shard.
  void AddCensusRequest(const InstanceName& to,
                        const wire::ShardEpoch& shard,
                        const JobId& job);

  /// Turns everything gathered into effects. Updates carry `load` and `token`.
  void Flush(const wire::Load& load, wire::ClockToken token, Effects& effects);

 private:
  std::map<InstanceName, wire::Offers> offers_;
  std::map<InstanceName, wire::TaskUpdates> updates_;
  std::map<InstanceName, wire::Withdraw> withdrawals_;
  std::map<InstanceName, wire::Acknowledge> acknowledged_;
  std::map<InstanceName, std::map<wire::ShardId, wire::CensusRequest>> census_;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_OUTBOX_H_

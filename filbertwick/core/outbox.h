#ifndef FILBERTWICK_CORE_OUTBOX_H_
#define FILBERTWICK_CORE_OUTBOX_H_

#include <map>

#include "filbertwick/base/name.h"
#include "filbertwick/core/effect.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::core {

/// Collects what the handling of one event sends, so that each instance gets
/// at most one message of each kind, and one CensusRequest per shard.
class Outbox {
 public:
  /// Adds an offer to the Offers message for one incarnation of a sidecar.
  void AddOffer(const InstanceName& to,
                wire::Incarnation incarnation,
                wire::TaskOffer offer);
  /// Adds a task's state to the TaskUpdates message for the job's owner.
  void AddUpdate(const InstanceName& to, wire::TaskUpdate update);
  /// Adds a task to the Withdraw message for a sidecar.
  void AddWithdrawal(const InstanceName& to, wire::TaskWithdrawal withdrawal);
  /// Adds a task to the Acknowledge message for a sidecar: the owner has the
  /// result, and the sidecar stops resending it.
  void AddAcknowledge(const InstanceName& to, wire::TaskKey key);
  /// Adds a job to the CensusRequest for its shard, which asks a sidecar what
  /// tasks of the job it has started.
  void AddCensusRequest(const InstanceName& to,
                        const wire::ShardEpoch& shard,
                        const JobId& job);

  /// Appends one SendEffect per collected message to `effects` and empties the
  /// outbox. TaskUpdates messages carry `load` and `token`.
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

#ifndef FILBERTWICK_CORE_DIRECT_ENTRY_EFFECT_H_
#define FILBERTWICK_CORE_DIRECT_ENTRY_EFFECT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "filbertwick/base/log_line.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/handover.h"
#include "filbertwick/core/direct/job_request.h"
#include "filbertwick/core/direct/message.h"

namespace filbertwick::core::direct {

/// Answers a caller's request. Each request is answered at most once.
struct AnswerJobEffect {
  uint64_t request = 0;
  JobOutcome outcome = JobOutcome::kCompleted;
  /// For refusals: when the caller should try again.
  std::chrono::seconds retry_after{0};
  /// Cause of the outcome, as one identifier.
  std::string cause;
  /// Time since the job arrived.
  Duration age{0};
};

/// Sends a message to a sidecar.
struct SendToSidecarEffect {
  InstanceName to;
  EntryMessage message;
};

/// Sends a message to another entry.
struct SendToPeerEffect {
  InstanceName to;
  HandoverMessage message;
};

/// Something for the host to count.
enum class EntryEvent : uint8_t {
  /// A job was sent to another entry.
  kJobHandedOver,
  /// A job of another entry was accepted.
  kJobTakenOver,
  /// Another entry has declined a job.
  kHandoverDeclined,
};

/// Increases the counter of an event by one.
struct CountEffect {
  EntryEvent event = EntryEvent::kJobHandedOver;
};

/// All requests of a DirectEntry to its host.
using EntryEffect = std::variant<SendToSidecarEffect,
                                 AnswerJobEffect,
                                 LogLine,
                                 SendToPeerEffect,
                                 CountEffect>;
using EntryEffects = std::vector<EntryEffect>;

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_ENTRY_EFFECT_H_

#ifndef FILBERTWICK_CORE_DIRECT_ENTRY_EFFECT_H_
#define FILBERTWICK_CORE_DIRECT_ENTRY_EFFECT_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "filbertwick/base/log_line.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/message.h"

namespace filbertwick::core::direct {

/// A step of an attended job: tasks that are alike.
struct JobStep {
  uint32_t count = 1;
  Resources needs;
  /// Rough run time of a task.
  Duration estimate{0};
  /// Earlier steps whose tasks must all have succeeded.
  std::vector<size_t> after;
  /// A label that the upstream must have; empty for any.
  std::string required_label;
  /// The rack that holds the data; empty for any.
  std::string data_rack;
  /// Most tasks of the step on one upstream at a time; 0 for any number.
  uint32_t max_siblings = 0;
};

/// A job whose caller waits for its end.
struct JobRequest {
  /// Names the caller's request in answers; unique within the process.
  uint64_t request = 0;
  std::string id;
  std::string service;
  /// 0 comes first.
  uint32_t priority = 0;
  /// Runs of a task that may fail before the job does.
  uint32_t max_attempts = 1;
  /// The caller hopes for an answer within this time.
  Duration target{0};
  /// Expected time from the first start to the last end.
  Duration expected{0};
  /// The caller leaves, or the route gives up, after this time.
  Duration time_limit{0};
  std::string spec;
  std::vector<JobStep> steps;
};

/// What became of an attended job.
enum class JobOutcome : uint8_t {
  kCompleted,
  /// A task failed as often as it may.
  kFailed,
  /// Nothing of it has run or will run.
  kRefused,
  /// Its time was up; some of it may have run.
  kTimedOut,
};

/// Answer a caller; the last word on its request.
struct AnswerJobEffect {
  uint64_t request = 0;
  JobOutcome outcome = JobOutcome::kCompleted;
  /// For refusals: when to come back.
  std::chrono::seconds retry_after{0};
  /// One word for the cause.
  std::string cause;
  /// Time since the job arrived.
  Duration age{0};
};

/// Send a message to a sidecar.
struct SendToSidecarEffect {
  InstanceName to;
  EntryMessage message;
};

/// Everything that a DirectEntry asks of its host.
using EntryEffect = std::variant<SendToSidecarEffect, AnswerJobEffect, LogLine>;
using EntryEffects = std::vector<EntryEffect>;

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_ENTRY_EFFECT_H_

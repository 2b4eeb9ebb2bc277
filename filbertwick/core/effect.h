#ifndef FILBERTWICK_CORE_EFFECT_H_
#define FILBERTWICK_CORE_EFFECT_H_

#include <string>
#include <variant>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/wire/control_record.h"
#include "filbertwick/wire/job.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::core {

/// Sends a message to an instance. The host uses UDP for Probe and ProbeReply
/// and TCP for all others, and looks up the address with Core::FindPeer().
struct SendEffect {
  InstanceName to;
  wire::Message message;
};

/// Appends a record to the control stream.
struct AppendEffect {
  wire::ControlRecord record;
};

/// Answers a caller's request. Each request gets exactly one answer.
struct AnswerEffect {
  wire::RequestId request = 0;
  wire::JobAnswer answer;
  /// For explain queries: the decisions about the job, one per line.
  std::vector<std::string> explanation;
};

/// Answers an operator once the change was applied, with acceptance or refusal.
struct OperatorAnswerEffect {
  wire::RequestId request = 0;
  bool accepted = false;
  wire::LogOffset offset = 0;
  /// Reason for a refusal; names the change that was accepted instead.
  std::string text;
};

/// Starts a task at the upstream beside this sidecar.
struct StartExecutionEffect {
  wire::TaskKey key;
  uint32_t attempt = 1;
  ServiceName service;
  Duration timeout{0};
  std::string payload;
};

/// Stops a task at the upstream. An ExecutionEndedEvent still reports its end.
struct StopExecutionEffect {
  wire::TaskKey key;
  uint32_t attempt = 1;
};

/// Writes one line of the audit trail: an applied record and its result.
struct AuditEffect {
  wire::LogOffset offset = 0;
  WallTime written;
  AuthorName author;
  ChangeId change;
  /// Description of the change.
  std::string what;
  bool accepted = false;
  /// Reason for a refusal; empty when accepted.
  std::string why;
};

/// Writes one line to the log of the process.
struct LogEffect {
  std::string text;
};

/// Reports that the graceful stop is complete or its deadline has passed.
struct StoppedEffect {
  /// False when the deadline passed with work unfinished.
  bool clean = true;
};

/// Any effect that a core asks its host to perform.
using Effect = std::variant<SendEffect,
                            AppendEffect,
                            AnswerEffect,
                            OperatorAnswerEffect,
                            StartExecutionEffect,
                            StopExecutionEffect,
                            AuditEffect,
                            LogEffect,
                            StoppedEffect>;

/// The effects of one event, in order.
using Effects = std::vector<Effect>;

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_EFFECT_H_

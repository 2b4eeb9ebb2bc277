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

/// Send a message. The host picks UDP for Probe and ProbeReply, TCP for all
/// others; it finds the address through the core's peers().
struct SendEffect {
  InstanceName to;
  wire::Message message;
};

/// Append a record to the control stream.
struct AppendEffect {
  wire::ControlRecord record;
};

/// Answer a caller's request; the last word on it.
struct AnswerEffect {
  wire::RequestId request = 0;
  wire::JobAnswer answer;
  /// For explain queries: what was decided, one line a step.
  std::vector<std::string> explanation;
};

/// Answer an operator: the change was folded, accepted or refused.
struct OperatorAnswerEffect {
  wire::RequestId request = 0;
  bool accepted = false;
  wire::LogOffset offset = 0;
  /// Why it was refused, naming the change that won.
  std::string text;
};

/// Start a task at the upstream beside this sidecar.
struct StartExecutionEffect {
  wire::TaskKey key;
  uint32_t attempt = 1;
  ServiceName service;
  Duration timeout{0};
  std::string payload;
};

/// Stop a task at the upstream; its end is still reported by
/// ExecutionEndedEvent.
struct StopExecutionEffect {
  wire::TaskKey key;
  uint32_t attempt = 1;
};

/// One line of the audit trail: a folded record and what became of it.
struct AuditEffect {
  wire::LogOffset offset = 0;
  WallTime written;
  AuthorName author;
  ChangeId change;
  std::string what;
  bool accepted = false;
  std::string why;
};

/// One line for the process's log.
struct LogEffect {
  std::string text;
};

/// The graceful stop is complete, or its deadline has passed.
struct StoppedEffect {
  bool clean = true;
};

/// Everything a core can ask of its host.
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

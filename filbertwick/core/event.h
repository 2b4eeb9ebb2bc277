#ifndef FILBERTWICK_CORE_EVENT_H_
#define FILBERTWICK_CORE_EVENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/wire/control_record.h"
#include "filbertwick/wire/job.h"
#include "filbertwick/wire/message.h"

namespace filbertwick::core {

/// A caller submits or resubmits a job at this entry.
struct SubmitEvent {
  wire::RequestId request = 0;
  wire::JobSpec spec;
};

/// A caller asks about, or cancels, a job at this entry.
struct QueryEvent {
  wire::RequestId request = 0;
  JobId job;
  wire::JobQuery query = wire::JobQuery::kFetch;
};

/// The caller of a request has gone away; no answer can reach it.
struct CallerGoneEvent {
  wire::RequestId request = 0;
};

/// An operator asks for a change; the record's body is PublishBundle, SetZone
/// or LeaveInstance.
struct OperatorEvent {
  wire::RequestId request = 0;
  wire::ControlRecord record;
};

/// A message of another instance, authenticated by the host.
struct MessageEvent {
  wire::Sender from;
  wire::Message message;
};

/// Records read from the control stream, in order. When the stream was
/// trimmed past what this process knows, the first record is a Checkpoint.
struct LogReadEvent {
  wire::LogOffset first = 0;
  std::vector<wire::ControlRecord> records;
  /// Offset after the newest record at the time of the read.
  wire::LogOffset head = 0;
};

/// The log could not be read; events of this kind repeat while it lasts.
struct LogReadFailedEvent {};

/// An append came back without success; the record may have been written all
/// the same. A success needs no event: the record is read back.
struct AppendFailedEvent {
  ChangeId change;
};

/// NextWakeup() has come.
struct WakeupEvent {};

/// Stop gracefully; what is unfinished after `deadline` is answered with what
/// is known.
struct StopEvent {
  Duration deadline{0};
};

/// The upstream beside this sidecar announced itself, changed or went.
struct UpstreamEvent {
  /// Tasks it takes at a time; 0 when gone.
  uint32_t slots = 0;
  /// It is leaving: running tasks end, nothing new starts.
  bool leaving = false;
};

/// The upstream ended a task that StartExecutionEffect started.
struct ExecutionEndedEvent {
  wire::TaskKey key;
  uint32_t attempt = 1;
  /// kSucceeded, kRan, kNotRun (certainly refused by it) or kMayHaveRun.
  wire::TaskResult result;
};

/// Everything that can happen to a core.
using Event = std::variant<WakeupEvent,
                           MessageEvent,
                           SubmitEvent,
                           QueryEvent,
                           CallerGoneEvent,
                           OperatorEvent,
                           LogReadEvent,
                           LogReadFailedEvent,
                           AppendFailedEvent,
                           StopEvent,
                           UpstreamEvent,
                           ExecutionEndedEvent>;

/// The present, as the host's clocks give it.
struct Now {
  Instant monotonic;
  WallTime wall;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_EVENT_H_

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

/// A caller submits a job to this entry, for the first time or again.
struct SubmitEvent {
  wire::RequestId request = 0;
  wire::JobSpec spec;
};

/// A caller queries or cancels a job at this entry.
struct QueryEvent {
  wire::RequestId request = 0;
  JobId job;
  wire::JobQuery query = wire::JobQuery::kFetch;
};

/// The caller of a request has disconnected; no answer can reach it.
struct CallerGoneEvent {
  wire::RequestId request = 0;
};

/// An operator requests a change. The body of the record is PublishBundle,
/// SetZone or LeaveInstance.
struct OperatorEvent {
  wire::RequestId request = 0;
  wire::ControlRecord record;
};

/// A message from another instance. The host has authenticated the sender.
struct MessageEvent {
  wire::Sender from;
  wire::Message message;
};

/// Records read from the control stream, in order. When the stream was trimmed
/// past the offset that this process has applied, the first record is a
/// Checkpoint.
struct LogReadEvent {
  /// Offset of the first record.
  wire::LogOffset first = 0;
  std::vector<wire::ControlRecord> records;
  /// Offset after the newest record at the time of the read.
  wire::LogOffset head = 0;
};

/// A read of the control stream failed. Repeated for every failed read.
struct LogReadFailedEvent {};

/// An append failed, or its answer was lost: the record may have been written
/// nevertheless. A successful append has no event, because the record is read
/// back in a LogReadEvent.
struct AppendFailedEvent {
  ChangeId change;
};

/// The instant that Core::NextWakeup() returned has been reached.
struct WakeupEvent {};

/// The process must stop gracefully. Requests that are unfinished after
/// `deadline` are answered with the state that is known then.
struct StopEvent {
  /// Time left, counted from this event.
  Duration deadline{0};
};

/// The upstream beside this sidecar registered, changed or disappeared.
struct UpstreamEvent {
  /// Tasks that the upstream runs concurrently; 0 when it is gone.
  uint32_t slots = 0;
  /// The upstream drains: running tasks finish, no new task starts.
  bool leaving = false;
};

/// A task that StartExecutionEffect started has ended at the upstream.
struct ExecutionEndedEvent {
  wire::TaskKey key;
  uint32_t attempt = 1;
  /// kSucceeded, kRan, kMayHaveRun, or kNotRun when the upstream has certainly
  /// refused the task.
  wire::TaskResult result;
};

/// Any event that a core handles.
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

/// The current time on the host's clocks.
struct Now {
  Instant monotonic;
  WallTime wall;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_EVENT_H_

#ifndef FILBERTWICK_CORE_STATE_CONTROL_LOG_WRITER_H_
#define FILBERTWICK_CORE_STATE_CONTROL_LOG_WRITER_H_

#include <cstdint>
#include <map>
#include <string>

#include "filbertwick/base/name.h"
#include "filbertwick/core/effect.h"
#include "filbertwick/core/event.h"
#include "filbertwick/core/state/member.h"

namespace filbertwick::core {

/// Appends records to the control stream. Each append is retried under the same
/// change id until the record is read back from the stream, since a lost answer
/// doesn't tell whether the write took effect. Duplicates are harmless: a
/// change is applied only once.
class ControlLogWriter {
 public:
  /// Creates a writer for the instance of `member`, which must outlive it.
  explicit ControlLogWriter(const Member& member);

  /// Appends `body` with this instance as author, unless the change is pending
  /// or was applied already.
  void Append(const Now& now,
              ChangeId change,
              wire::ControlBody body,
              Effects& effects);
  /// Appends a JoinInstance record unless the control state lists this instance
  /// with exactly its present description.
  void JoinIfMissing(const Now& now, Effects& effects);
  /// Appends a record of another author, with the same checks.
  void Append(const Now& now, wire::ControlRecord record, Effects& effects);

  /// Ends the retries of a change: it was read back from the stream.
  void OnApplied(const ChangeId& change);
  /// Schedules the next attempt: the append failed, or its answer was lost.
  void OnFailed(const Now& now, const ChangeId& change);

  /// Retries the appends that are due.
  void Tick(const Now& now, Effects& effects);
  /// Returns when Tick() is due; Instant::max() when nothing is pending.
  Instant NextWakeup() const;
  /// True while the change is appended but not read back.
  bool IsPending(const ChangeId& change) const;

 private:
  /// A record that is appended but not read back.
  struct Pending {
    wire::ControlRecord record;
    Instant retry_at;
    /// Number of appends of this record.
    uint32_t attempts = 1;
  };

  Duration RetryDelay(uint32_t attempts) const;

  const Member& member_;
  std::map<ChangeId, Pending> pending_;
  /// Number of applied joins of this incarnation; part of the change id of the
  /// next one.
  uint64_t join_sequence_ = 0;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_CONTROL_LOG_WRITER_H_

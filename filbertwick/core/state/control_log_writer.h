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

/// Appends records to the control stream and appends each again, under the
/// same change id, until it is read back: an answer may be lost after the
/// write took effect, and a change folds once.
class ControlLogWriter {
 public:
  /// A recorder for the instance of `member`, which must outlive it.
  explicit ControlLogWriter(const Member& member);

  /// Appends `body` as this instance, unless the change is known already.
  void Append(const Now& now,
              ChangeId change,
              wire::ControlBody body,
              Effects& effects);
  /// Appends a join while the fold does not name this very instance.
  void JoinIfMissing(const Now& now, Effects& effects);
  /// Appends a record of somebody else's.
  void Append(const Now& now, wire::ControlRecord record, Effects& effects);

  /// The change was read back.
  void OnApplied(const ChangeId& change);
  /// The append failed, or its answer was lost.
  void OnFailed(const Now& now, const ChangeId& change);

  /// Appends again what was not read back in time.
  void Tick(const Now& now, Effects& effects);
  /// When Tick() is due.
  Instant NextWakeup() const;
  /// True while the change waits to be read back.
  bool IsPending(const ChangeId& change) const;

 private:
  /// A record on its way.
  struct Pending {
    wire::ControlRecord record;
    Instant retry_at;
    /// Times appended.
    uint32_t attempts = 1;
  };

  Duration RetryDelay(uint32_t attempts) const;

  const Member& member_;
  std::map<ChangeId, Pending> pending_;
  /// Joins of this instance that were folded and undone since.
  uint64_t join_sequence_ = 0;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_STATE_CONTROL_LOG_WRITER_H_

#ifndef FILBERTWICK_CORE_DIRECT_RUN_TABLE_H_
#define FILBERTWICK_CORE_DIRECT_RUN_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/time.h"
#include "filbertwick/core/direct/message.h"

namespace filbertwick::core::direct {

/// Where a run stands between its order and its end.
enum class RunPhase : uint8_t {
  /// The start was ordered and not answered.
  kStarting,
  kRunning,
  /// A stop was decided; the run may be there, on its way, or gone.
  kStopping,
};

/// A run that holds room at the upstream.
struct ActiveRun {
  TaskRun id;
  Resources needs;
  /// Rough run time.
  Duration estimate{0};
  /// The session that asked for it.
  Peer owner;
  RunPhase phase = RunPhase::kStarting;
  /// The upstream has confirmed that it runs.
  bool seen_running = false;
  Instant ordered;
  /// The present order to the upstream, 0 when none is open.
  uint64_t open_order = 0;
  /// When the open order is given up, or the next one is due.
  Instant order_due;
  /// Since when it must be gone in time, as its caller may send it again; the
  /// end of time while its session waits for the outcome.
  Instant stop_owed = Instant::max();
  /// When the upstream last confirmed the start or the stop; a listing asked
  /// for later that does not show the run proves that it is gone.
  Instant confirmed;
  bool is_confirmed = false;
  int64_t percent = -1;
  /// When the progress last changed.
  Instant moved;
};

/// The runs that hold room at an upstream that starts whatever it is told.
class RunTable {
 public:
  using Runs = std::map<std::string, ActiveRun, std::less<>>;

  /// Sets what the upstream has in all.
  void SetCapacity(const Resources& capacity) { capacity_ = capacity; }
  /// Adds a run; its task must not be held yet.
  ActiveRun& Hold(ActiveRun run);
  /// The held run of a task, or null.
  ActiveRun* Find(std::string_view task);
  /// The held run when it is this very one, or null.
  ActiveRun* FindRun(const TaskRun& run);
  /// Gives the room of a run back.
  void Release(const TaskRun& run);
  /// Gives all room back; the runs that held it.
  std::vector<ActiveRun> Clear();

  /// What is left for new tasks; may be negative in no dimension unless the
  /// capacity shrank.
  Resources Free() const { return capacity_ - held_; }
  Runs& runs() { return runs_; }
  const Runs& runs() const { return runs_; }

 private:
  Resources capacity_;
  Resources held_;
  /// By task: two runs of one task never stand beside one another.
  Runs runs_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_RUN_TABLE_H_

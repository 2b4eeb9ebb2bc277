#ifndef FILBERTWICK_CORE_DIRECT_CLAIM_H_
#define FILBERTWICK_CORE_DIRECT_CLAIM_H_

#include <cstddef>
#include <cstdint>

#include "filbertwick/core/direct/resources.h"
#include "filbertwick/wire/archive.h"

namespace filbertwick::core::direct {

/// Waiting tasks of one job, for which an entry asks a sidecar for capacity.
struct Claim {
  /// Some tasks of the job have run or may have run.
  bool has_run = false;
  /// 0 is the highest: that of the job, or a higher one of a job that waits
  /// behind it at the entry.
  uint32_t priority = 0;
  /// Microseconds from the time at which the message was sent until the job is
  /// refused, or should have been placed if it has run; 0 when that has passed.
  int64_t time_left_micros = 0;
  /// Resources of one task.
  Resources needs;
  /// Number of tasks; 0 in the claim that matches everything.
  uint32_t tasks = 0;

  friend bool operator==(const Claim&, const Claim&) = default;

  /// Returns true for a claim without order or amount: its entry wants to know
  /// of all freed capacity.
  bool MatchesEverything() const { return tasks == 0; }

  /// Reads or writes the claim through a cereal archive.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(has_run, priority, time_left_micros, needs, tasks);
  }
};

/// Most claims in a message; further ones are ignored. A sidecar learns of new
/// claims with every offer, which takes less time than the ends of four tasks
/// at its upstream.
inline constexpr size_t kMaxClaims = 4;
/// Most tasks that count of one claim; bounds the work on one message.
inline constexpr uint32_t kMaxTasksOfClaim = 64;

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_CLAIM_H_

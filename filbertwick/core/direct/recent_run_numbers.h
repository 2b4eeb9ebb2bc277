#ifndef FILBERTWICK_CORE_DIRECT_RECENT_RUN_NUMBERS_H_
#define FILBERTWICK_CORE_DIRECT_RECENT_RUN_NUMBERS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "filbertwick/base/time.h"

namespace filbertwick::core::direct {

/// Run numbers that an entry used for jobs which it has removed. When a caller
/// sends such a job again, its tasks have the same names; with higher run
/// numbers, late messages about the earlier runs do not concern the new ones.
class RecentRunNumbers {
 public:
  /// How long numbers are kept; afterwards the numbers that the wall clock
  /// gives are higher, unless it was set back by more.
  static constexpr Duration kMemory = std::chrono::seconds(10);

  /// Records the run number that a removed job would have used next.
  void Record(Instant now, std::string_view job, uint64_t next_number);
  /// Returns the first number for a new run of the job, at least `number`.
  uint64_t AtLeast(std::string_view job, uint64_t number) const;

 private:
  struct Expiry {
    Instant at;
    std::string job;
  };

  std::map<std::string, uint64_t, std::less<>> numbers_;
  /// One element for each call of Record(), oldest first.
  std::deque<Expiry> expiries_;
};

}  // namespace filbertwick::core::direct

#endif  // FILBERTWICK_CORE_DIRECT_RECENT_RUN_NUMBERS_H_

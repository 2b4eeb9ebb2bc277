#ifndef FILBERTWICK_CORE_POLICY_HANDOVER_CHOICE_H_
#define FILBERTWICK_CORE_POLICY_HANDOVER_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include "filbertwick/base/time.h"

namespace filbertwick::core::policy {

/// Decides which share of its jobs an entry keeps. Load addressed: an entry
/// with a quarter of its neighbours' processor gets the most callers of a
/// burst, while the fleet as a whole is half idle. The share kept is decreased
/// multiplicatively while the entry is saturated and increased step by step
/// otherwise, so that it settles where the entry is busy but not late.
class KeptShare {
 public:
  /// Records the entry's pressure, 0 idle to 1 saturated.
  void OnPressure(Instant now, double pressure);
  /// Returns true when the pressure calls for handovers.
  bool IsCalledFor() const { return pressure_ >= kMinPressure && share_ < 1; }
  /// Counts a new job. Returns true when it should be handed over, for which
  /// the caller then calls OnHandedOver().
  bool ShouldHandOver();
  /// A job is handed over.
  void OnHandedOver() { owed_ -= 1; }

  double share() const { return share_; }
  double pressure() const { return pressure_; }

 private:
  /// Below this pressure no job is handed over; a round trip to another entry
  /// costs the caller more than waiting here.
  static constexpr double kMinPressure = 0.5;

  double pressure_ = 0;
  double share_ = 1;
  /// Jobs to be handed over by the share, less those that were.
  double owed_ = 0;
  std::optional<Instant> changed_at_;
};

/// An entry that may take over a job.
struct HandoverCandidate {
  std::string_view zone;
  bool is_own_zone = false;
  /// Shortest round trip that was measured; 0 when there is none.
  Duration round_trip{0};
  /// Thousandths of a core; 0 when unknown.
  uint32_t processor_millis = 0;
  /// As reported, 0 idle to 1 saturated.
  double pressure = 0;
  /// Age of the report.
  Duration report_age{0};
  /// Jobs handed to it since the report.
  uint32_t handed_since_report = 0;
  bool accepts = false;
};

/// From this pressure on an entry takes over no job.
inline constexpr double kMaxTargetPressure = 0.75;

/// Returns the pressure to assume for a candidate, from 0 to 1: the reported
/// one, discounted with its age, and the jobs handed over since.
double EstimatePressure(const HandoverCandidate& candidate);

/// Returns the index of the entry to which a job goes. Two candidates are drawn
/// from the nearest zone that has one, weighted by spare capacity, and the less
/// loaded one is taken: the best candidate alone would get all jobs of all
/// origins until its next report. Returns nothing when no candidate has spare
/// capacity. `random` is any number; it determines the draws.
std::optional<size_t> ChooseHandoverTarget(
    std::span<const HandoverCandidate> candidates,
    uint64_t random);

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_HANDOVER_CHOICE_H_

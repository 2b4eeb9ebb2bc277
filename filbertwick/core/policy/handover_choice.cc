#include "filbertwick/core/policy/handover_choice.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <numeric>
#include <vector>

namespace filbertwick::core::policy {
namespace {

/// Time between two changes of the share; some round trips, so that the effect
/// of one change shows before the next.
constexpr Duration kChangeInterval = std::chrono::milliseconds(50);
/// From this pressure on the share is decreased.
constexpr double kSaturated = 0.75;
/// Below this pressure the share is increased. The gap between the two keeps
/// the share steady while the entry is busy but in time.
constexpr double kRelaxed = 0.5;
constexpr double kDecreaseFactor = 0.5;
constexpr double kIncreaseStep = 0.05;
/// An entry always keeps some jobs: they show whether it can serve more again.
constexpr double kMinShare = 0.05;
/// At most this many jobs are handed over in a row after a time in which no
/// target was found.
constexpr double kMaxOwed = 2;
/// A load report of this age says nothing any more; three intervals of the
/// membership messages.
constexpr double kReportLifetimeMicros = 1.5e6;
/// Processor time that a job costs the entry that places it.
constexpr double kJobMicros = 1000;
/// Time over which the jobs handed over since a report are averaged, at least;
/// the interval of load reports between two busy entries.
constexpr Duration kMinReportWindow = std::chrono::milliseconds(50);
/// Assumed for an entry that does not report its processor, so that it gets
/// about as much as the smallest.
constexpr uint32_t kUnknownProcessorMillis = 100;

double ProcessorMillis(const HandoverCandidate& candidate) {
  return candidate.processor_millis > 0 ? candidate.processor_millis
                                        : kUnknownProcessorMillis;
}

double SpareCapacity(const HandoverCandidate& candidate) {
  const double pressure = EstimatePressure(candidate);
  return candidate.accepts && pressure < kMaxTargetPressure
             ? ProcessorMillis(candidate) * (1 - pressure)
             : 0;
}

/// Returns the indices of the candidates with spare capacity in the own zone,
/// or else in the zone with the shortest round trip.
std::vector<size_t> NearestUsable(
    std::span<const HandoverCandidate> candidates) {
  std::map<std::string_view, std::vector<size_t>> zones;
  std::map<std::string_view, Duration> distances;
  for (size_t n = 0; n < candidates.size(); ++n) {
    const HandoverCandidate& candidate = candidates[n];
    if (SpareCapacity(candidate) <= 0) {
      continue;
    }
    zones[candidate.zone].push_back(n);
    const Duration distance =
        candidate.is_own_zone ? Duration(-1) : candidate.round_trip;
    const auto [it, added] = distances.emplace(candidate.zone, distance);
    it->second = std::min(it->second, distance);
  }
  if (zones.empty()) {
    return {};
  }
  const auto nearest = std::ranges::min_element(
      distances, {}, [](const auto& item) { return item.second; });
  return zones[nearest->first];
}

}  // namespace

void KeptShare::OnPressure(Instant now, double pressure) {
  pressure_ = std::clamp(pressure, 0.0, 1.0);
  if (changed_at_ && now - *changed_at_ < kChangeInterval) {
    return;
  }
  if (pressure_ >= kSaturated) {
    share_ = std::max(kMinShare, share_ * kDecreaseFactor);
    changed_at_ = now;
  } else if (pressure_ < kRelaxed && share_ < 1) {
    share_ = std::min(1.0, share_ + kIncreaseStep);
    changed_at_ = now;
  }
}

bool KeptShare::ShouldHandOver() {
  if (!IsCalledFor()) {
    owed_ = 0;
    return false;
  }
  owed_ = std::min(kMaxOwed, owed_ + 1 - share_);
  return owed_ >= 1;
}

double EstimatePressure(const HandoverCandidate& candidate) {
  const auto age = static_cast<double>(candidate.report_age.count());
  const double doubt = std::clamp(age / kReportLifetimeMicros, 0.0, 1.0);
  const double reported = std::clamp(candidate.pressure, 0.0, 1.0);
  const double window =
      std::max(age, static_cast<double>(kMinReportWindow.count()));
  const double handed = candidate.handed_since_report * kJobMicros /
                        (window * ProcessorMillis(candidate) / 1000);
  return std::min(1.0, reported + (1 - reported) * doubt + handed);
}

std::optional<size_t> ChooseHandoverTarget(
    std::span<const HandoverCandidate> candidates,
    uint64_t random) {
  std::vector<size_t> usable = NearestUsable(candidates);
  if (usable.empty()) {
    return std::nullopt;
  }
  std::vector<double> spare;
  std::ranges::transform(usable, std::back_inserter(spare), [&](size_t n) {
    return SpareCapacity(candidates[n]);
  });
  // Draws an element weighted by spare capacity and takes it out.
  const auto draw = [&](uint32_t bits) {
    double point = static_cast<double>(bits) / 4294967296.0 *
                   std::accumulate(spare.begin(), spare.end(), 0.0);
    size_t k = 0;
    while (k + 1 < spare.size() && point >= spare[k]) {
      point -= spare[k++];
    }
    const size_t n = usable[k];
    usable.erase(usable.begin() + static_cast<std::ptrdiff_t>(k));
    spare.erase(spare.begin() + static_cast<std::ptrdiff_t>(k));
    return n;
  };
  const size_t first = draw(static_cast<uint32_t>(random));
  if (usable.empty()) {
    return first;
  }
  const size_t second = draw(static_cast<uint32_t>(random >> 32));
  return EstimatePressure(candidates[second]) <
                 EstimatePressure(candidates[first])
             ? second
             : first;
}

}  // namespace filbertwick::core::policy

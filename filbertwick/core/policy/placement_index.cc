#include "filbertwick/core/policy/placement_index.h"

#include <algorithm>
#include <cmath>

namespace filbertwick::core::policy {
namespace {

uint64_t FreeSlots(const UpstreamPlace& place) {
  return place.slots - std::min(place.slots, place.busy);
}

}  // namespace

PlacementIndex::PlacementIndex(const PlacementSettings& settings, uint64_t seed)
    : settings_(settings), seed_(seed) {}

void PlacementIndex::Set(UpstreamId upstream, const UpstreamPlace& place) {
  Remove(upstream);
  if (upstream >= entries_.size()) {
    entries_.resize(upstream + 1);
  }
  Entry& entry = entries_[upstream];
  entry.present = true;
  entry.place = place;
  ++size_;
  slots_ += place.slots;
  free_slots_ += FreeSlots(place);
  // Each change draws a new tie-breaker from the seed.
  Hasher hasher;
  hasher.Add(seed_);
  hasher.Add(++changes_);
  const auto step = static_cast<double>(settings_.equal_wait.count());
  entry.key = {
      .wait = std::llround(WaitMicros(place) / std::max(step, 1.0)),
      .other_zone = settings_.prefer_own_zone && !place.own_zone,
      .tie = hasher.digest(),
      .upstream = upstream,
  };
  if (place.busy < place.limit) {
    order_.insert(entry.key);
  }
}

void PlacementIndex::Remove(UpstreamId upstream) {
  if (upstream >= entries_.size() || !entries_[upstream].present) {
    return;
  }
  Entry& entry = entries_[upstream];
  order_.erase(entry.key);
  --size_;
  slots_ -= entry.place.slots;
  free_slots_ -= FreeSlots(entry.place);
  entry.present = false;
}

std::optional<UpstreamId> PlacementIndex::Best() const {
  if (order_.empty()) {
    return std::nullopt;
  }
  return order_.begin()->upstream;
}

std::optional<Duration> PlacementIndex::BestWait() const {
  const std::optional<UpstreamId> best = Best();
  if (!best) {
    return std::nullopt;
  }
  return Duration(std::llround(WaitMicros(entries_[*best].place)));
}

bool PlacementIndex::HasFreeSlot(UpstreamId upstream) const {
  return FreeSlots(entries_[upstream].place) > 0;
}

void PlacementIndex::Hash(Hasher& hasher) const {
  hasher.Add(changes_);
  for (const Key& key : order_) {
    hasher.Add(key.upstream);
    hasher.Add(static_cast<uint64_t>(key.wait));
    hasher.Add(key.tie);
  }
}

double PlacementIndex::WaitMicros(const UpstreamPlace& place) const {
  const auto run_time = static_cast<double>(place.run_time.count());
  const auto usual = static_cast<double>(place.usual_run_time.count());
  const double slots = std::max(place.slots, 1U);
  // Time until a slot becomes free for one more task.
  double wait = static_cast<double>(place.distance.count());
  const double slot_interval = run_time / slots;
  if (place.busy >= place.slots) {
    wait += slot_interval * (place.busy - place.slots + 1);
  } else if (settings_.unseen_share > 0) {
    // Other entries may have taken all free slots since the last load report.
    wait += slot_interval *
            std::pow(settings_.unseen_share, place.slots - place.busy);
  }
  // On a slow upstream the task also runs longer.
  wait += std::max(run_time - usual, 0.0);
  return wait;
}

}  // namespace filbertwick::core::policy

#include "filbertwick/core/policy/placement_index.h"

#include <algorithm>
#include <cmath>

namespace filbertwick::core::policy {
namespace {

uint64_t FreeSlots(const UpstreamState& state) {
  return state.slots - std::min(state.slots, state.task_count);
}

}  // namespace

PlacementIndex::PlacementIndex(const PlacementSettings& settings, uint64_t seed)
    : settings_(settings), seed_(seed) {}

void PlacementIndex::Set(UpstreamId upstream, const UpstreamState& state) {
  Remove(upstream);
  if (upstream >= entries_.size()) {
    entries_.resize(upstream + 1);
  }
  Entry& entry = entries_[upstream];
  entry.present = true;
  entry.state = state;
  ++size_;
  slots_ += state.slots;
  free_slots_ += FreeSlots(state);
  // Each change draws a new tie-breaker from the seed.
  Hasher hasher;
  hasher.Add(seed_);
  hasher.Add(++changes_);
  const auto resolution =
      static_cast<double>(settings_.wait_resolution.count());
  entry.key = {
      .wait = std::llround(WaitMicros(state) / std::max(resolution, 1.0)),
      .other_zone = settings_.prefer_own_zone && !state.own_zone,
      .tie = hasher.digest(),
      .upstream = upstream,
  };
  if (state.task_count < state.task_limit) {
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
  slots_ -= entry.state.slots;
  free_slots_ -= FreeSlots(entry.state);
  entry.present = false;
}

std::optional<UpstreamId> PlacementIndex::BestUpstream() const {
  if (order_.empty()) {
    return std::nullopt;
  }
  return order_.begin()->upstream;
}

std::optional<Duration> PlacementIndex::BestUpstreamWait() const {
  const std::optional<UpstreamId> best = BestUpstream();
  if (!best) {
    return std::nullopt;
  }
  return Duration(std::llround(WaitMicros(entries_[*best].state)));
}

bool PlacementIndex::HasFreeSlot(UpstreamId upstream) const {
  return FreeSlots(entries_[upstream].state) > 0;
}

void PlacementIndex::Hash(Hasher& hasher) const {
  hasher.Add(changes_);
  for (const Key& key : order_) {
    hasher.Add(key.upstream);
    hasher.Add(static_cast<uint64_t>(key.wait));
    hasher.Add(key.tie);
  }
}

double PlacementIndex::WaitMicros(const UpstreamState& state) const {
  const auto run_time = static_cast<double>(state.run_time.count());
  const auto baseline = static_cast<double>(state.baseline_run_time.count());
  const double slots = std::max(state.slots, 1U);
  // Network latency, and the time until a slot becomes free for one more task.
  double wait = static_cast<double>(state.distance.count());
  const double slot_interval = run_time / slots;
  if (state.task_count >= state.slots) {
    wait += slot_interval * (state.task_count - state.slots + 1);
  } else if (settings_.stale_slot_probability > 0) {
    // Other entries may have taken all free slots since the last load report.
    wait += slot_interval * std::pow(settings_.stale_slot_probability,
                                     state.slots - state.task_count);
  }
  // Add the time by which the task runs longer on a slow upstream.
  wait += std::max(run_time - baseline, 0.0);
  return wait;
}

}  // namespace filbertwick::core::policy

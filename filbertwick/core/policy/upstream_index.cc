#include "filbertwick/core/policy/upstream_index.h"

#include <algorithm>
#include <utility>

namespace filbertwick::core::policy {
namespace {

using direct::Resources;

/// Upstreams per block: about the square root of the largest fleets, which
/// balances the update of a block with the visit of all blocks.
constexpr size_t kBlockSize = 32;

/// Free amounts below those of any upstream.
constexpr Resources kNoRoom = {std::numeric_limits<int64_t>::min(),
                               std::numeric_limits<int64_t>::min(),
                               std::numeric_limits<int64_t>::min()};

Resources Max(const Resources& a, const Resources& b) {
  return {std::max(a.cpu_millis, b.cpu_millis),
          std::max(a.memory_mb, b.memory_mb), std::max(a.gpus, b.gpus)};
}

/// Returns true when the needs are positive in some dimension; only then do
/// they never fit into the zero resources of a reserved upstream.
bool NeedsAnything(const Resources& needs) {
  return !Resources().Covers(needs);
}

/// Returns true when every upstream on which `strict` fits can also take
/// `lenient`.
bool IsNoStricter(const PlacementTask& lenient, const PlacementTask& strict) {
  return strict.needs.Covers(lenient.needs) &&
         (lenient.required_label.empty() ||
          lenient.required_label == strict.required_label) &&
         lenient.max_run_time_ratio >= strict.max_run_time_ratio &&
         lenient.is_last_attempt <= strict.is_last_attempt &&
         (lenient.zone == ZoneRestriction::kNone ||
          lenient.zone == strict.zone) &&
         lenient.max_tasks_per_upstream == 0;
}

bool IsCovered(std::span<const PlacementTask> tasks,
               const PlacementTask& task) {
  return std::ranges::any_of(tasks, [&](const PlacementTask& other) {
    return IsNoStricter(other, task);
  });
}

/// Returns true when the states differ in nothing but fewer free resources.
bool IsOnlyFuller(const PlacementCandidate& before,
                  const PlacementCandidate& after) {
  return before.free.Covers(after.free) && before.capacity == after.capacity &&
         before.run_time_ratio == after.run_time_ratio &&
         before.suspect == after.suspect &&
         before.on_probation == after.on_probation &&
         before.labels.data() == after.labels.data() &&
         before.labels.size() == after.labels.size() &&
         before.in_zone == after.in_zone;
}

}  // namespace

void UpstreamIndex::Reset(size_t handles) {
  BeginPass();
  leaves_.assign(handles, Leaf());
  blocks_.assign((handles + kBlockSize - 1) / kBlockSize, Block());
  size_ = 0;
  suspects_ = 0;
  on_probation_ = 0;
  cpu_hint_ = 0;
  NoteGain();
}

void UpstreamIndex::NoteGain() {
  ++gains_;
  unplaced_.clear();
  MarkReserved();
}

void UpstreamIndex::AddToSums(const Leaf& leaf) {
  ++size_;
  suspects_ += leaf.candidate.suspect ? 1 : 0;
  on_probation_ += leaf.candidate.on_probation ? 1 : 0;
}

void UpstreamIndex::RemoveFromSums(const Leaf& leaf) {
  --size_;
  suspects_ -= leaf.candidate.suspect ? 1 : 0;
  on_probation_ -= leaf.candidate.on_probation ? 1 : 0;
}

void UpstreamIndex::Set(UpstreamHandle upstream,
                        const PlacementCandidate& candidate) {
  Leaf& leaf = leaves_[upstream];
  const bool was_present = leaf.is_present;
  const bool is_only_fuller =
      was_present && IsOnlyFuller(leaf.candidate, candidate);
  if (!is_only_fuller) {
    NoteGain();
  }
  if (was_present && !is_only_fuller) {
    RemoveFromSums(leaf);
  }
  leaf.is_present = true;
  leaf.candidate = candidate;
  leaf.base_score = BaseScore(candidate);
  if (!is_only_fuller) {
    AddToSums(leaf);
  }
  UpdateBlock(upstream / kBlockSize);
  if (!was_present) {
    UpdateBlockSizes();
  }
}

void UpstreamIndex::Remove(UpstreamHandle upstream) {
  Leaf& leaf = leaves_[upstream];
  if (!leaf.is_present) {
    return;
  }
  NoteGain();
  RemoveFromSums(leaf);
  leaf = Leaf();
  UpdateBlock(upstream / kBlockSize);
  UpdateBlockSizes();
}

void UpstreamIndex::UpdateBlock(size_t block) {
  Block& it = blocks_[block];
  const uint32_t size_before = it.size_before;
  it = Block();
  it.size_before = size_before;
  it.room = kNoRoom;
  it.room_without_suspects = kNoRoom;
  const size_t end = std::min(leaves_.size(), (block + 1) * kBlockSize);
  for (size_t n = block * kBlockSize; n < end; ++n) {
    const Leaf& leaf = leaves_[n];
    if (!leaf.is_present) {
      continue;
    }
    ++it.size;
    it.min_base_score = std::min(it.min_base_score, leaf.base_score);
    it.room = Max(it.room, leaf.candidate.free);
    if (!leaf.candidate.suspect) {
      it.room_without_suspects =
          Max(it.room_without_suspects, leaf.candidate.free);
    }
  }
}

void UpstreamIndex::UpdateBlockSizes() {
  uint32_t before = 0;
  for (Block& block : blocks_) {
    block.size_before = before;
    before += block.size;
  }
}

bool UpstreamIndex::HasRoomFor(const Resources& needs) {
  const Avoidance avoidance = CurrentAvoidance();
  for (size_t n = 0; n < blocks_.size(); ++n) {
    ++examined_;
    if (blocks_[n].size == 0 || !RoomOf(blocks_[n], avoidance).Covers(needs)) {
      continue;
    }
    const size_t end = std::min(leaves_.size(), (n + 1) * kBlockSize);
    for (size_t k = n * kBlockSize; k < end; ++k) {
      const Leaf& leaf = leaves_[k];
      ++examined_;
      if (leaf.is_present && leaf.candidate.free.Covers(needs) &&
          !(avoidance.of_suspects && leaf.candidate.suspect)) {
        return true;
      }
    }
  }
  return false;
}

void UpstreamIndex::BeginPass() {
  ++pass_;
  unplaced_.clear();
  reserved_for_.clear();
  originals_.clear();
}

std::vector<std::optional<UpstreamHandle>> UpstreamIndex::Place(
    std::span<const PlacementTask> tasks,
    uint64_t salt) {
  originals_.clear();
  const Avoidance avoidance = CurrentAvoidance();
  if (avoidance != unplaced_under_) {
    unplaced_.clear();
    unplaced_under_ = avoidance;
  }
  std::vector<std::optional<UpstreamHandle>> places;
  places.reserve(tasks.size());
  for (const PlacementTask& task : tasks) {
    if (IsCovered(unplaced_, task)) {
      places.emplace_back();
      continue;
    }
    places.push_back(Find(task, avoidance, salt));
    if (places.back()) {
      Take(*places.back(), task);
    } else {
      unplaced_.push_back(task);
    }
  }
  return places;
}

std::optional<UpstreamHandle> UpstreamIndex::Find(const PlacementTask& task,
                                                  const Avoidance& avoidance,
                                                  uint64_t salt) {
  const bool needs_anything = NeedsAnything(task.needs);
  const auto may_fit = [&](const Block& block) {
    return block.size > 0 &&
           (!needs_anything || RoomOf(block, avoidance).Covers(task.needs));
  };
  // The block with the lowest base score comes first: its best score excludes
  // most of the others.
  size_t first = blocks_.size();
  for (size_t n = 0; n < blocks_.size(); ++n) {
    ++examined_;
    if (may_fit(blocks_[n]) &&
        (first == blocks_.size() ||
         blocks_[n].min_base_score < blocks_[first].min_base_score)) {
      first = n;
    }
  }
  if (first == blocks_.size()) {
    return std::nullopt;
  }
  Best best;
  FindInBlock(first, task, avoidance, salt, best);
  for (size_t n = 0; n < blocks_.size(); ++n) {
    if (n != first && may_fit(blocks_[n]) &&
        blocks_[n].min_base_score <= best.score) {
      FindInBlock(n, task, avoidance, salt, best);
    }
  }
  return best.upstream;
}

void UpstreamIndex::FindInBlock(size_t block,
                                const PlacementTask& task,
                                const Avoidance& avoidance,
                                uint64_t salt,
                                Best& best) {
  const bool needs_anything = NeedsAnything(task.needs);
  uint64_t number = blocks_[block].size_before;
  const size_t end = std::min(leaves_.size(), (block + 1) * kBlockSize);
  for (size_t n = block * kBlockSize; n < end; ++n) {
    const Leaf& leaf = leaves_[n];
    if (!leaf.is_present) {
      continue;
    }
    ++examined_;
    const uint64_t noise_number = number++;
    const auto handle = static_cast<UpstreamHandle>(n);
    if (needs_anything && (leaf.base_score > best.score ||
                           !leaf.candidate.free.Covers(task.needs))) {
      continue;
    }
    const bool is_reserved = IsReserved(handle);
    if (needs_anything && is_reserved) {
      continue;
    }
    PlacementCandidate emptied;
    const PlacementCandidate* candidate = &leaf.candidate;
    double base_score = leaf.base_score;
    if (is_reserved) {
      emptied = leaf.candidate;
      emptied.free = Resources();
      base_score = BaseScore(emptied);
      candidate = &emptied;
    }
    if (!Fits(task, *candidate) || !avoidance.Allows(task, *candidate)) {
      continue;
    }
    const double score =
        Score(base_score, task, *candidate, task.avoided_candidate == n,
              PlacementNoise(salt, noise_number));
    if (score < best.score ||
        (score == best.score && best.upstream && handle < *best.upstream)) {
      best = {handle, score};
    }
  }
}

void UpstreamIndex::Take(UpstreamHandle upstream, const PlacementTask& task) {
  Leaf& leaf = leaves_[upstream];
  PlacementCandidate& candidate = leaf.candidate;
  if (std::ranges::none_of(originals_, [&](const Original& original) {
        return original.upstream == upstream;
      })) {
    originals_.push_back({upstream, candidate.suspect, candidate.siblings});
  }
  candidate.free -= task.needs;
  ++candidate.siblings;
  if (candidate.on_probation && !candidate.suspect) {
    // Changes which upstreams are avoided from the next job on.
    NoteGain();
    candidate.suspect = true;
    ++suspects_;
  }
  candidate.hosts_crash_suspect |= task.is_crash_suspect;
  leaf.base_score = BaseScore(candidate);
  UpdateBlock(upstream / kBlockSize);
}

bool UpstreamIndex::IsReserved(UpstreamHandle upstream) const {
  const Leaf& leaf = leaves_[upstream];
  return leaf.reserved_in_pass == pass_ ||
         (leaf.is_present &&
          std::ranges::any_of(reserved_for_, [&](const PlacementTask& task) {
            return CouldTake(task, leaf.candidate);
          }));
}

void UpstreamIndex::Reserve(const PlacementTask& task) {
  if (IsCovered(reserved_for_, task)) {
    return;
  }
  const bool has_changed_state =
      std::ranges::any_of(originals_, [this](const Original& original) {
        return original.suspect != leaves_[original.upstream].candidate.suspect;
      });
  if (has_changed_state || task.max_tasks_per_upstream > 0) {
    MarkReservedFor(task);
  } else {
    reserved_for_.push_back(task);
  }
}

void UpstreamIndex::MarkReserved() {
  for (const PlacementTask& task : std::exchange(reserved_for_, {})) {
    MarkReservedFor(task);
  }
}

void UpstreamIndex::MarkReservedFor(const PlacementTask& task) {
  for (size_t n = 0; n < leaves_.size(); ++n) {
    Leaf& leaf = leaves_[n];
    if (!leaf.is_present) {
      continue;
    }
    ++examined_;
    PlacementCandidate before = leaf.candidate;
    const auto original = std::ranges::find(originals_, n, &Original::upstream);
    if (original != originals_.end()) {
      before.suspect = original->suspect;
      before.siblings = original->siblings;
    }
    if (CouldTake(task, before)) {
      leaf.reserved_in_pass = pass_;
    }
  }
}

bool UpstreamIndex::HasUnreservedCpu() {
  const auto has_cpu = [this](size_t n) {
    ++examined_;
    const Leaf& leaf = leaves_[n];
    return leaf.is_present && leaf.candidate.free.cpu_millis > 0 &&
           !IsReserved(static_cast<UpstreamHandle>(n));
  };
  if (cpu_hint_ < leaves_.size() && has_cpu(cpu_hint_)) {
    return true;
  }
  for (size_t block = 0; block < blocks_.size(); ++block) {
    ++examined_;
    if (blocks_[block].size == 0 || blocks_[block].room.cpu_millis <= 0) {
      continue;
    }
    const size_t end = std::min(leaves_.size(), (block + 1) * kBlockSize);
    for (size_t n = block * kBlockSize; n < end; ++n) {
      if (has_cpu(n)) {
        cpu_hint_ = static_cast<UpstreamHandle>(n);
        return true;
      }
    }
  }
  return false;
}

bool UpstreamIndex::AnyCouldTake(const PlacementTask& task) {
  return std::ranges::any_of(leaves_, [&](const Leaf& leaf) {
    ++examined_;
    return leaf.is_present && CouldTake(task, leaf.candidate);
  });
}

}  // namespace filbertwick::core::policy

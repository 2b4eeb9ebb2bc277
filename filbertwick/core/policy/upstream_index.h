#ifndef FILBERTWICK_CORE_POLICY_UPSTREAM_INDEX_H_
#define FILBERTWICK_CORE_POLICY_UPSTREAM_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <vector>

#include "filbertwick/core/direct/resources.h"
#include "filbertwick/core/policy/placement_rules.h"
#include "filbertwick/core/policy/task_placement.h"

namespace filbertwick::core::policy {

/// Number of an upstream within the index, below UpstreamIndex::handles(). The
/// owner assigns the handles in the order in which a scan would visit the
/// upstreams.
using UpstreamHandle = uint32_t;

/// The upstreams of one service on which tasks may be placed. Finds the same
/// places as PlaceTasks() over all of them, without examining those that have
/// no room or can't have the best score. Addresses the load of many waiting
/// jobs at an entry with many upstreams, where a scan of all upstreams for
/// every waiting job and message takes most of the entry's processor time.
///
/// Handles are grouped into blocks. A block knows the largest free amounts and
/// the lowest base score of its upstreams, so a search skips whole blocks.
///
/// A placement pass begins with BeginPass(). Within it, Reserve() sets aside
/// upstreams for jobs that wait, and Place() remembers which tasks fit nowhere,
/// so that no further search is made for others that need as much or more.
class UpstreamIndex {
 public:
  /// Removes all upstreams and allows handles below `handles`.
  void Reset(size_t handles);
  size_t handles() const { return leaves_.size(); }

  /// Adds an upstream or changes its state. The labels of `candidate` must stay
  /// valid until the upstream is set again or removed.
  void Set(UpstreamHandle upstream, const PlacementCandidate& candidate);
  /// Removes an upstream; no effect when the index does not contain it.
  void Remove(UpstreamHandle upstream);
  bool Contains(UpstreamHandle upstream) const {
    return leaves_[upstream].is_present;
  }
  /// State of an upstream that the index contains.
  const PlacementCandidate& at(UpstreamHandle upstream) const {
    return leaves_[upstream].candidate;
  }
  /// Number of upstreams.
  size_t size() const { return size_; }

  /// Sets the number of tasks of the present job's step at an upstream.
  void SetSiblings(UpstreamHandle upstream, size_t siblings) {
    leaves_[upstream].candidate.siblings = siblings;
  }

  /// Returns true when an upstream that would get tasks has `needs` free.
  /// Other properties and reservations are not considered.
  bool HasRoomFor(const direct::Resources& needs);

  /// Ends all reservations. To be called at the end of a pass as well.
  void BeginPass();
  /// Places tasks of one job like PlaceTasks() over all upstreams in the order
  /// of their handles, with nothing free on reserved ones. The indices in the
  /// tasks and in the result are handles. Changes the state of the selected
  /// upstreams accordingly.
  std::vector<std::optional<UpstreamHandle>> Place(
      std::span<const PlacementTask> tasks,
      uint64_t salt);
  /// Reserves the upstreams that could take a task that Place() has just left
  /// without a place; see CouldTake(). They are judged by their state before
  /// that call.
  void Reserve(const PlacementTask& task);
  bool IsReserved(UpstreamHandle upstream) const;
  /// Returns true when an upstream that is not reserved has free CPU.
  bool HasUnreservedCpu();
  /// Returns true when an upstream could take the task once it has enough free
  /// resources; see CouldTake().
  bool AnyCouldTake(const PlacementTask& task);

  /// Increases with every change by which a task may fit that did not before:
  /// every change but a decrease of free resources.
  uint64_t gains() const { return gains_; }
  /// Upstreams and blocks examined since the creation of the index; a measure
  /// of the processor time spent.
  uint64_t examined() const { return examined_; }

 private:
  struct Leaf {
    bool is_present = false;
    /// Equals pass_ while the upstream is marked as reserved.
    uint64_t reserved_in_pass = 0;
    double base_score = 0;
    PlacementCandidate candidate;
  };
  struct Block {
    /// Largest free amounts of all upstreams, and of those not suspect.
    direct::Resources room;
    direct::Resources room_without_suspects;
    double min_base_score = std::numeric_limits<double>::infinity();
    /// Present upstreams in the block, and in all blocks before it.
    uint32_t size = 0;
    uint32_t size_before = 0;
  };
  /// State of an upstream before Place() changed it.
  struct Original {
    UpstreamHandle upstream = 0;
    bool suspect = false;
    size_t siblings = 0;
  };
  struct Best {
    std::optional<UpstreamHandle> upstream;
    double score = std::numeric_limits<double>::infinity();
  };

  Avoidance CurrentAvoidance() const {
    return Avoidance::For(size_, suspects_, on_probation_);
  }
  const direct::Resources& RoomOf(const Block& block,
                                  const Avoidance& avoidance) const {
    return avoidance.of_suspects ? block.room_without_suspects : block.room;
  }
  void AddToSums(const Leaf& leaf);
  void RemoveFromSums(const Leaf& leaf);
  /// To be called before a change by which a task may fit that did not before.
  void NoteGain();
  /// Marks the upstreams that the tasks of `reserved_for_` reserve. Until then
  /// they are recognised by comparison, since most are never asked for.
  void MarkReserved();
  void MarkReservedFor(const PlacementTask& task);
  void UpdateBlock(size_t block);
  void UpdateBlockSizes();
  std::optional<UpstreamHandle> Find(const PlacementTask& task,
                                     const Avoidance& avoidance,
                                     uint64_t salt);
  void FindInBlock(size_t block,
                   const PlacementTask& task,
                   const Avoidance& avoidance,
                   uint64_t salt,
                   Best& best);
  void Take(UpstreamHandle upstream, const PlacementTask& task);

  std::vector<Leaf> leaves_;
  std::vector<Block> blocks_;
  size_t size_ = 0;
  size_t suspects_ = 0;
  size_t on_probation_ = 0;
  uint64_t pass_ = 1;
  /// Tasks that fit nowhere in this pass, and tasks whose upstreams are
  /// reserved in it, but not all marked.
  std::vector<PlacementTask> unplaced_;
  std::vector<PlacementTask> reserved_for_;
  Avoidance unplaced_under_;
  /// Upstreams changed by the last Place().
  std::vector<Original> originals_;
  /// Where HasUnreservedCpu() found CPU last.
  UpstreamHandle cpu_hint_ = 0;
  uint64_t gains_ = 0;
  uint64_t examined_ = 0;
};

}  // namespace filbertwick::core::policy

#endif  // FILBERTWICK_CORE_POLICY_UPSTREAM_INDEX_H_

#include "filbertwick/core/state/knowledge.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "filbertwick/base/hash.h"

namespace filbertwick::core {
namespace {

/// Number of records retained for other instances. An instance that needs older
/// ones gets a snapshot.
constexpr size_t kKeptRecords = 512;

/// Returns the estimated encoded size of a record, in bytes.
size_t SizeOf(const wire::ControlRecord& record) {
  constexpr size_t kSmallRecordBytes = 128;
  if (const auto* body = std::get_if<wire::PublishBundle>(&record.body)) {
    return kSmallRecordBytes + body->text.size();
  }
  if (const auto* body = std::get_if<wire::Checkpoint>(&record.body)) {
    return kSmallRecordBytes + body->state.size();
  }
  return kSmallRecordBytes;
}

}  // namespace

Knowledge::Knowledge(RegionName region) : region_(std::move(region)) {}

Verdict Knowledge::Apply(const wire::ControlRecord& record) {
  Verdict verdict = control_.Apply(record);
  kept_.push_back(record);
  // Only readers of the log need the state inside a checkpoint: an instance
  // that lacks older records gets a snapshot instead.
  if (auto* body = std::get_if<wire::Checkpoint>(&kept_.back().body)) {
    body->state.clear();
  }
  if (kept_.size() > kKeptRecords) {
    kept_.pop_front();
    ++kept_first_;
  }
  DropKnownOverrides();
  return verdict;
}

absl::Status Knowledge::TakeState(std::string_view bytes) {
  absl::Status status = control_.Decode(bytes);
  if (status.ok()) {
    kept_.clear();
    kept_first_ = control_.offset();
    DropKnownOverrides();
  }
  return status;
}

void Knowledge::DropKnownOverrides() {
  const RegionState* state = region();
  if (state == nullptr || overrides_.empty()) {
    return;
  }
  std::erase_if(overrides_, [&](const auto& item) {
    return item.first < state->epochs.size() &&
           state->epochs[item.first] >= item.second;
  });
}

const wire::Epoch& Knowledge::EpochOf(wire::ShardId shard) const {
  static const wire::Epoch none;
  const auto it = overrides_.find(shard);
  if (it != overrides_.end()) {
    return it->second;
  }
  const RegionState* state = region();
  const bool known = state != nullptr && shard < state->epochs.size();
  return known ? state->epochs[shard] : none;
}

bool Knowledge::Raise(wire::ShardId shard, const wire::Epoch& epoch) {
  if (shard >= wire::kShardsPerRegion || epoch <= EpochOf(shard)) {
    return false;
  }
  overrides_[shard] = epoch;
  return true;
}

bool Knowledge::Learn(const wire::Statement& statement) {
  bool raised = false;
  for (const wire::ShardEpoch& known : statement.overrides) {
    raised |= Raise(known.shard, known.epoch);
  }
  return raised;
}

wire::Statement Knowledge::MakeStatement() const {
  wire::Statement statement;
  statement.offset = control_.offset();
  for (const auto& [shard, epoch] : overrides_) {
    statement.overrides.push_back({shard, epoch});
  }
  return statement;
}

std::optional<wire::Records> Knowledge::RecordsFrom(wire::LogOffset offset,
                                                    size_t max_bytes) const {
  if (offset < kept_first_ || offset >= control_.offset()) {
    return std::nullopt;
  }
  wire::Records records;
  records.first = offset;
  size_t bytes = 0;
  const auto begin =
      kept_.begin() + static_cast<std::ptrdiff_t>(offset - kept_first_);
  for (const wire::ControlRecord& record :
       std::ranges::subrange(begin, kept_.end())) {
    bytes += SizeOf(record);
    if (!records.records.empty() && bytes > max_bytes) {
      break;
    }
    records.records.push_back(record);
  }
  return records;
}

uint64_t Knowledge::Hash() const {
  Hasher hasher;
  hasher.Add(control_.Hash());
  for (const auto& [shard, epoch] : overrides_) {
    hasher.Add(shard);
    hasher.Add(epoch.generation);
    hasher.Add(epoch.number);
    hasher.Add(epoch.handovers);
    hasher.Add(epoch.owner.value());
  }
  return hasher.digest();
}

}  // namespace filbertwick::core

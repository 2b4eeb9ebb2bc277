#include "filbertwick/core/state/control_replica.h"

#include <algorithm>
#include <ranges>
#include <utility>

#include "filbertwick/base/hash.h"

namespace filbertwick::core {
namespace {

/// Records kept for others; older ones are replaced by a snapshot.
constexpr size_t kMaxRecentRecords = 512;

/// Bytes a record takes on the wire, roughly.
size_t EstimateSize(const wire::ControlRecord& record) {
  constexpr size_t kRecordOverheadBytes = 128;
  if (const auto* body = std::get_if<wire::PublishBundle>(&record.body)) {
    return kRecordOverheadBytes + body->text.size();
  }
  if (const auto* body = std::get_if<wire::Checkpoint>(&record.body)) {
    return kRecordOverheadBytes + body->state.size();
  }
  return kRecordOverheadBytes;
}

}  // namespace

ControlReplica::ControlReplica(RegionName region)
    : region_(std::move(region)) {}

ApplyResult ControlReplica::Apply(const wire::ControlRecord& record) {
  ApplyResult result = control_.Apply(record);
  recent_records_.push_back(record);
  // The state of a checkpoint is of use to readers of the stream only.
  if (auto* body =
          std::get_if<wire::Checkpoint>(&recent_records_.back().body)) {
    body->state.clear();
  }
  if (recent_records_.size() > kMaxRecentRecords) {
    recent_records_.pop_front();
    ++recent_start_;
  }
  DropSupersededOverrides();
  return result;
}

absl::Status ControlReplica::InstallState(std::string_view bytes) {
  absl::Status status = control_.Decode(bytes);
  if (status.ok()) {
    recent_records_.clear();
    recent_start_ = control_.offset();
    DropSupersededOverrides();
  }
  return status;
}

void ControlReplica::DropSupersededOverrides() {
  const RegionState* state = region();
  if (state == nullptr || overrides_.empty()) {
    return;
  }
  std::erase_if(overrides_, [&](const auto& item) {
    return item.first < state->epochs.size() &&
           state->epochs[item.first] >= item.second;
  });
}

const wire::Epoch& ControlReplica::EpochOf(wire::ShardId shard) const {
  static const wire::Epoch none;
  const auto it = overrides_.find(shard);
  if (it != overrides_.end()) {
    return it->second;
  }
  const RegionState* state = region();
  const bool known = state != nullptr && shard < state->epochs.size();
  return known ? state->epochs[shard] : none;
}

bool ControlReplica::UpdateEpoch(wire::ShardId shard,
                                 const wire::Epoch& epoch) {
  if (shard >= wire::kShardsPerRegion || epoch <= EpochOf(shard)) {
    return false;
  }
  overrides_[shard] = epoch;
  return true;
}

bool ControlReplica::MergeSummary(const wire::StateSummary& summary) {
  bool raised = false;
  for (const wire::ShardEpoch& known : summary.overrides) {
    raised |= UpdateEpoch(known.shard, known.epoch);
  }
  return raised;
}

wire::StateSummary ControlReplica::MakeSummary() const {
  wire::StateSummary summary;
  summary.offset = control_.offset();
  for (const auto& [shard, epoch] : overrides_) {
    summary.overrides.push_back({shard, epoch});
  }
  return summary;
}

std::optional<wire::Records> ControlReplica::RecordsFrom(
    wire::LogOffset offset,
    size_t max_bytes) const {
  if (offset < recent_start_ || offset >= control_.offset()) {
    return std::nullopt;
  }
  wire::Records records;
  records.first = offset;
  size_t bytes = 0;
  const auto begin = recent_records_.begin() +
                     static_cast<std::ptrdiff_t>(offset - recent_start_);
  for (const wire::ControlRecord& record :
       std::ranges::subrange(begin, recent_records_.end())) {
    bytes += EstimateSize(record);
    if (!records.records.empty() && bytes > max_bytes) {
      break;
    }
    records.records.push_back(record);
  }
  return records;
}

uint64_t ControlReplica::Hash() const {
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

#include "filbertwick/core/state/control_state.h"
#include "filbertwick/bundle/bundle_parser.h"

#include <fmt/format.h>

#include <algorithm>
#include <ranges>
#include <utility>

#include "filbertwick/base/hash.h"
#include "filbertwick/core/state/rendezvous.h"
#include "filbertwick/wire/archive.h"

namespace filbertwick::core {
namespace {

/// Changes whose verdict is kept, so that a retry folds once.
constexpr size_t kRecentChanges = 1024;

}  // namespace

ControlState::ControlState() = default;

ApplyResult ControlState::Apply(const wire::ControlRecord& record) {
  const auto known = results_.find(record.change);
  if (known != results_.end()) {
    ++data_.offset;
    return {false, "this change was folded before"};
  }
  ApplyResult result = std::visit(
      [&](const auto& body) { return ApplyBody(record, body); }, record.body);
  RememberResult(record.change, result);
  ExpireDepartures(record.written);
  ++data_.offset;
  return result;
}

void ControlState::RememberResult(const ChangeId& change,
                                  const ApplyResult& result) {
  data_.recent.push_back({change, result.accepted, result.why});
  results_[change] = result;
  if (data_.recent.size() <= kRecentChanges) {
    return;
  }
  // Drop half at once, so that the cost of moving is spread.
  const auto end = data_.recent.begin() + kRecentChanges / 2;
  for (const AppliedChange& old :
       std::ranges::subrange(data_.recent.begin(), end)) {
    results_.erase(old.change);
  }
  data_.recent.erase(data_.recent.begin(), end);
}

void ControlState::ExpireDepartures(WallTime written) {
  const Duration window =
      bundle_ ? bundle_->dedupe_window : bundle::Bundle().dedupe_window;
  const int64_t window_millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(window).count();
  std::erase_if(data_.departures, [&](const Departure& departure) {
    return departure.left.unix_millis + window_millis < written.unix_millis;
  });
}

std::string ControlState::Encode() const {
  return wire::EncodeValue(data_);
}

absl::Status ControlState::Decode(std::string_view bytes) {
  absl::StatusOr<Data> data = wire::DecodeValue<Data>(bytes);
  if (!data.ok()) {
    return data.status();
  }
  if (data->offset < data_.offset) {
    return absl::FailedPreconditionError("the state is older than this one");
  }
  std::shared_ptr<const bundle::Bundle> bundle;
  if (data->bundle_version != 0) {
    bundle::ParsedBundle parsed =
        bundle::ParseBundle("bundle", data->bundle_text);
    if (!parsed.bundle) {
      return absl::InvalidArgumentError("the state holds a damaged bundle");
    }
    bundle = std::make_shared<bundle::Bundle>(*std::move(parsed.bundle));
  }
  data_ = *std::move(data);
  bundle_ = std::move(bundle);
  results_.clear();
  for (const AppliedChange& change : data_.recent) {
    results_[change.change] = {change.accepted, change.why};
  }
  return absl::OkStatus();
}

const RegionState* ControlState::FindRegion(const RegionName& name) const {
  const auto it = data_.regions.find(name);
  return it == data_.regions.end() ? nullptr : &it->second;
}

bool ControlState::HasApplied(const ChangeId& change) const {
  return results_.contains(change);
}

const ApplyResult* ControlState::FindResult(const ChangeId& change) const {
  const auto it = results_.find(change);
  return it == results_.end() ? nullptr : &it->second;
}

std::vector<InstanceName> ControlState::Successors(
    const RegionName& region,
    wire::ShardId shard,
    const InstanceName& owner) const {
  const RegionState* state = FindRegion(region);
  if (state == nullptr || state->sets.empty()) {
    return {};
  }
  std::vector<InstanceName> entries;
  for (const InstanceName& name : state->sets.back().names) {
    const auto it = data_.instances.find(name);
    const bool is_entry =
        it != data_.instances.end() && it->second.role == wire::Role::kEntry;
    if (is_entry && name != owner) {
      entries.push_back(name);
    }
  }
  return RendezvousOrder(entries, fmt::format("shard/{}", shard));
}

uint64_t ControlState::Hash() const {
  return Hash64(Encode());
}

}  // namespace filbertwick::core

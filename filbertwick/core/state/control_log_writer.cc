#include "filbertwick/core/state/control_log_writer.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace filbertwick::core {
namespace {

/// Doublings of the pause between two tries.
constexpr uint32_t kMaxDoublings = 3;

}  // namespace

ControlLogWriter::ControlLogWriter(const Member& member) : member_(member) {}

Duration ControlLogWriter::RetryDelay(uint32_t attempts) const {
  const uint32_t doublings = std::min(attempts - 1, kMaxDoublings);
  return member_.settings().timing.append_retry * (1 << doublings);
}

void ControlLogWriter::Append(const Now& now,
                              ChangeId change,
                              wire::ControlBody body,
                              Effects& effects) {
  wire::ControlRecord record;
  record.change = std::move(change);
  record.author = AuthorName(member_.settings().info.name.value());
  record.written = now.wall;
  record.body = std::move(body);
  Append(now, std::move(record), effects);
}

void ControlLogWriter::Append(const Now& now,
                              wire::ControlRecord record,
                              Effects& effects) {
  if (pending_.contains(record.change) ||
      member_.control().HasApplied(record.change)) {
    return;
  }
  effects.push_back(AppendEffect{record});
  const Instant retry_at = now.monotonic + RetryDelay(1);
  const ChangeId change = record.change;
  pending_[change] = {std::move(record), retry_at};
}

void ControlLogWriter::JoinIfMissing(const Now& now, Effects& effects) {
  const wire::InstanceInfo& self = member_.settings().info;
  const auto it = member_.control().instances().find(self.name);
  if (it != member_.control().instances().end() && it->second == self) {
    return;
  }
  const auto change = [&] {
    return ChangeId(fmt::format("join/{}/{:016x}/{}", self.name.value(),
                                self.incarnation, join_sequence_));
  };
  // A join that was folded and undone since needs a new change id.
  while (member_.control().HasApplied(change())) {
    ++join_sequence_;
  }
  Append(now, change(), wire::JoinInstance{self}, effects);
}

void ControlLogWriter::OnApplied(const ChangeId& change) {
  pending_.erase(change);
}

void ControlLogWriter::OnFailed(const Now& now, const ChangeId& change) {
  const auto it = pending_.find(change);
  if (it != pending_.end()) {
    it->second.retry_at = now.monotonic + RetryDelay(it->second.attempts);
  }
}

void ControlLogWriter::Tick(const Now& now, Effects& effects) {
  std::erase_if(pending_, [&](const auto& item) {
    return member_.control().HasApplied(item.first);
  });
  for (auto& [change, pending] : pending_) {
    if (pending.retry_at > now.monotonic) {
      continue;
    }
    ++pending.attempts;
    pending.retry_at = now.monotonic + RetryDelay(pending.attempts);
    effects.push_back(AppendEffect{pending.record});
  }
}

Instant ControlLogWriter::NextWakeup() const {
  Instant next = Instant::max();
  for (const auto& [change, pending] : pending_) {
    next = std::min(next, pending.retry_at);
  }
  return next;
}

bool ControlLogWriter::IsPending(const ChangeId& change) const {
  return pending_.contains(change);
}

}  // namespace filbertwick::core

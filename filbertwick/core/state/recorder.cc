#include "filbertwick/core/state/recorder.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace filbertwick::core {
namespace {

/// Maximum number of times the retry delay is doubled.
constexpr uint32_t kMaxDoublings = 3;

}  // namespace

Recorder::Recorder(const Member& member) : member_(member) {}

Duration Recorder::Pause(uint32_t tries) const {
  const uint32_t doublings = std::min(tries - 1, kMaxDoublings);
  return member_.settings().timing.append_retry * (1 << doublings);
}

void Recorder::Append(const Now& now,
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

void Recorder::Append(const Now& now,
                      wire::ControlRecord record,
                      Effects& effects) {
  if (pending_.contains(record.change) ||
      member_.control().HasFolded(record.change)) {
    return;
  }
  effects.push_back(AppendEffect{record});
  const Instant retry_at = now.monotonic + Pause(1);
  const ChangeId change = record.change;
  pending_[change] = {std::move(record), retry_at};
}

void Recorder::JoinIfMissing(const Now& now, Effects& effects) {
  const wire::InstanceInfo& self = member_.settings().info;
  const auto it = member_.control().instances().find(self.name);
  if (it != member_.control().instances().end() && it->second == self) {
    return;
  }
  const auto change = [&] {
    return ChangeId(fmt::format("join/{}/{:016x}/{}", self.name.value(),
                                self.incarnation, joins_));
  };
  // A join whose effect was undone since, such as by a removal, needs a new
  // change id: a repeated one would be ignored as a duplicate.
  while (member_.control().HasFolded(change())) {
    ++joins_;
  }
  Append(now, change(), wire::JoinInstance{self}, effects);
}

void Recorder::OnFolded(const ChangeId& change) {
  pending_.erase(change);
}

void Recorder::OnFailed(const Now& now, const ChangeId& change) {
  const auto it = pending_.find(change);
  if (it != pending_.end()) {
    it->second.retry_at = now.monotonic + Pause(it->second.tries);
  }
}

void Recorder::Tick(const Now& now, Effects& effects) {
  std::erase_if(pending_, [&](const auto& item) {
    return member_.control().HasFolded(item.first);
  });
  for (auto& [change, pending] : pending_) {
    if (pending.retry_at > now.monotonic) {
      continue;
    }
    ++pending.tries;
    pending.retry_at = now.monotonic + Pause(pending.tries);
    effects.push_back(AppendEffect{pending.record});
  }
}

Instant Recorder::NextWakeup() const {
  Instant next = Instant::max();
  for (const auto& [change, pending] : pending_) {
    next = std::min(next, pending.retry_at);
  }
  return next;
}

bool Recorder::IsPending(const ChangeId& change) const {
  return pending_.contains(change);
}

}  // namespace filbertwick::core

#include "filbertwick/harness/direct_upstream.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace filbertwick::harness {
namespace {

using core::direct::CommandResult;
using core::direct::EndKind;

/// Delay between a stop command and the end of the run.
constexpr Duration kStopDuration = std::chrono::milliseconds(50);

}  // namespace

core::direct::UpstreamMillis DirectUpstream::Clock(Duration now) const {
  // Starts at 1, since 0 means that there is no reading.
  return 1 +
         static_cast<int64_t>(static_cast<double>((now - created_at_).count()) *
                              rate_ / 1000);
}

bool DirectUpstream::Accepts(uint64_t token) {
  if (token < token_) {
    return false;
  }
  token_ = token;
  return true;
}

void DirectUpstream::Extend(Duration now, core::direct::UpstreamMillis until) {
  lease_end_ =
      std::max(lease_end_, std::min(until, Clock(now) + kMaxLeaseMillis));
}

CommandResult DirectUpstream::Start(Duration now,
                                    const core::direct::StartCommand& command,
                                    const RunPlan& plan) {
  Advance(now);
  if (!Accepts(command.header.fencing_token)) {
    return CommandResult::kFenced;
  }
  if (command.lease_until <= Clock(now)) {
    return CommandResult::kRefused;
  }
  Extend(now, command.lease_until);
  const auto [begin, end] = runs_.equal_range(command.run.task);
  if (std::any_of(begin, end, [&](const auto& item) {
        return item.second.run == command.run.run;
      })) {
    return CommandResult::kAccepted;
  }
  const auto it = highest_ended_run_.find(command.run.task);
  if (it != highest_ended_run_.end() && command.run.run <= it->second) {
    return CommandResult::kRefused;
  }
  runs_.emplace(command.run.task, Run{command.run.run, now, plan});
  return CommandResult::kAccepted;
}

CommandResult DirectUpstream::Stop(Duration now,
                                   const core::direct::StopCommand& command) {
  Advance(now);
  if (!Accepts(command.header.fencing_token)) {
    return CommandResult::kFenced;
  }
  auto& highest = highest_ended_run_[command.run.task];
  highest = std::max(highest, command.run.run);
  const auto [begin, end] = runs_.equal_range(command.run.task);
  for (auto it = begin; it != end; ++it) {
    if (it->second.run == command.run.run) {
      it->second.stopped_at =
          std::min(it->second.stopped_at, now + kStopDuration);
    }
  }
  return CommandResult::kAccepted;
}

CommandResult DirectUpstream::List(Duration now,
                                   const core::direct::ListCommand& command,
                                   core::direct::Listing& listing) {
  Advance(now);
  if (!Accepts(command.header.fencing_token)) {
    return CommandResult::kFenced;
  }
  if (command.lease_until > 0) {
    Extend(now, command.lease_until);
  }
  std::erase_if(unacknowledged_ends_, [&](const auto& end) {
    return end.number <= command.acknowledged_end;
  });
  listing.started_unix_millis = started_unix_millis_;
  listing.ended = unacknowledged_ends_;
  for (const auto& [task, run] : runs_) {
    const auto percent = (now - run.started_at) * 100 / run.plan.length;
    listing.running.push_back(
        {{task, run.run}, std::min(percent, run.plan.max_percent)});
  }
  return CommandResult::kAccepted;
}

void DirectUpstream::End(const std::string& task, uint64_t run, EndKind kind) {
  unacknowledged_ends_.push_back({++last_end_, {task, run}, kind});
  auto& highest = highest_ended_run_[task];
  highest = std::max(highest, run);
  if (end_hook_) {
    end_hook_({task, run}, kind);
  }
}

void DirectUpstream::Advance(Duration now) {
  for (auto it = runs_.begin(); it != runs_.end();) {
    const Run& run = it->second;
    const bool done = now >= run.started_at + run.plan.length;
    const bool stopped = now >= run.stopped_at;
    const bool lease_expired = Clock(now) > lease_end_;
    if (!done && !stopped && !lease_expired) {
      ++it;
      continue;
    }
    End(it->first, run.run,
        done      ? run.plan.end
        : stopped ? EndKind::kStopped
                  : EndKind::kLost);
    it = runs_.erase(it);
  }
}

Duration DirectUpstream::NextEnd() const {
  Duration next = Duration::max();
  for (const Run& run : runs_ | std::views::values) {
    next = std::min({next, run.stopped_at, run.started_at + run.plan.length});
  }
  return next;
}

std::vector<core::direct::TaskRun> DirectUpstream::Running() const {
  std::vector<core::direct::TaskRun> runs;
  for (const auto& [task, run] : runs_) {
    runs.push_back({task, run.run});
  }
  return runs;
}

}  // namespace filbertwick::harness

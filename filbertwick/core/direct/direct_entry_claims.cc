#include <array>
#include <span>

#include "filbertwick/core/direct/direct_entry_impl.h"

namespace filbertwick::core::direct {
namespace {

/// Shortest interval between two messages by which the entry tells all sidecars
/// that jobs wait.
constexpr Duration kMinAnnouncementInterval = std::chrono::milliseconds(50);
/// Interval at which waiting tasks are distributed over the sidecars; a small
/// part of the time that a short job can wait.
constexpr Duration kClaimInterval = std::chrono::milliseconds(10);
/// Sidecars at which capacity for each waiting task is claimed. The second
/// claim covers for a sidecar where nothing becomes free.
constexpr size_t kClaimsPerTask = 2;
/// Most messages per kClaimInterval that are sent only to make a claim; all
/// others carry claims as well.
constexpr size_t kMaxClaimMessages = 4;
/// Most tasks that are distributed; far more than the upstreams free within
/// kClaimInterval for one entry.
constexpr uint32_t kMaxClaimedTasks = 256;
/// Spreads consecutive job numbers (2^64 divided by the golden ratio).
constexpr uint64_t kSpread = 0x9e3779b97f4a7c15;

/// Returns the number of tasks of a step that can be placed.
uint32_t CountReady(const DirectJob& job, size_t step) {
  const size_t first = job.first_task[step];
  const std::span<const JobTask> tasks(job.tasks.data() + first,
                                       job.spec.steps[step].count);
  return static_cast<uint32_t>(
      std::ranges::count(tasks, TaskPhase::kReady, &JobTask::phase));
}

}  // namespace

void DirectEntry::Impl::AnnounceWaitingJobs(Instant now) {
  if (now >= NextClaims()) {
    AssignClaims(now);
  } else if (NextClaims() == Instant::max() &&
             std::exchange(has_claims_, false)) {
    // The next message of each session reports it.
    for (SidecarView& view : sidecars_ | std::views::values) {
      view.claimed.clear();
    }
  }
  if (load_sharing_) {
    announced_waiting_ = false;
    return;
  }
  const bool waiting = !wait_queue_.empty();
  if (waiting == announced_waiting_ ||
      (waiting && now - waiting_announced_at_ < kMinAnnouncementInterval)) {
    return;
  }
  announced_waiting_ = waiting;
  waiting_announced_at_ = now;
  if (!waiting) {
    return;  // The next message of each session reports it.
  }
  for (SidecarView& view : sidecars_ | std::views::values) {
    view.send_due |= view.accepts_tasks;
    view.wants_reply |= view.accepts_tasks;
  }
}

Instant DirectEntry::Impl::NextClaims() const {
  return load_sharing_ && !wait_queue_.empty()
             ? claims_assigned_at_ + kClaimInterval
             : Instant::max();
}

void DirectEntry::Impl::AssignClaims(Instant now) {
  claims_assigned_at_ = now;
  has_claims_ = true;
  for (SidecarView& view : sidecars_ | std::views::values) {
    view.claimed.clear();
  }
  std::vector<WantedTasks> wanted = FirstWaitingTasks();
  // A job may come before others of higher priority, so that its kind catches
  // up. It then claims with the priority of those, which wait for it.
  std::array<uint32_t, 2> priorities;
  priorities.fill(std::numeric_limits<uint32_t>::max());
  for (WantedTasks& tasks : wanted | std::views::reverse) {
    uint32_t& priority = priorities[MayHaveRun(*tasks.job) ? 1 : 0];
    priority = std::min(priority, tasks.job->spec.priority);
    tasks.priority = priority;
  }
  for (const WantedTasks& tasks : wanted) {
    AssignClaim(tasks, ClaimableSidecars(now, *tasks.job, tasks.step));
  }
  size_t messages_left = kMaxClaimMessages;
  for (SidecarView& view : sidecars_ | std::views::values) {
    if (!view.claimed.empty() && !view.has_claims && !view.send_due &&
        messages_left > 0) {
      view.send_due = true;
      --messages_left;
    }
  }
}

std::vector<DirectEntry::Impl::WantedTasks>
DirectEntry::Impl::FirstWaitingTasks() {
  std::vector<WantedTasks> wanted;
  uint32_t tasks_left = kMaxClaimedTasks;
  for (const uint64_t number : wait_queue_.InPlacementOrder()) {
    const DirectJob& job = *jobs_.Find(number);
    // A run of one of its tasks for a removed job may not have ended yet.
    if (std::ranges::any_of(job.tasks, [this](const JobTask& task) {
          return task.phase == TaskPhase::kReady &&
                 stopping_tasks_.contains(task.name);
        })) {
      continue;
    }
    for (size_t step = 0; step < job.spec.steps.size(); ++step) {
      const uint32_t ready = std::min(CountReady(job, step), tasks_left);
      tasks_left -= ready;
      if (ready > 0) {
        wanted.push_back({&job, step, ready, job.spec.priority});
      }
    }
    if (tasks_left == 0) {
      break;
    }
  }
  return wanted;
}

void DirectEntry::Impl::AssignClaim(const WantedTasks& wanted,
                                    std::span<SidecarView* const> views) {
  if (views.empty()) {
    return;
  }
  const uint64_t job = wanted.job->number;
  const size_t first = (job * kSpread >> 32) % views.size();
  size_t copies = wanted.tasks * kClaimsPerTask;
  bool has_added = true;
  while (copies > 0 && has_added) {
    has_added = false;
    for (size_t n = 0; n < views.size() && copies > 0; ++n) {
      auto& claimed = views[(first + n) % views.size()]->claimed;
      const bool is_last_claim = !claimed.empty() &&
                                 claimed.back().job == job &&
                                 claimed.back().step == wanted.step;
      if (!is_last_claim && claimed.size() >= kMaxClaims) {
        continue;
      }
      if (!is_last_claim) {
        claimed.push_back({job, wanted.step, 0, wanted.priority});
      }
      ++claimed.back().tasks;
      --copies;
      has_added = true;
    }
  }
}

std::vector<SidecarView*> DirectEntry::Impl::ClaimableSidecars(
    Instant now,
    const DirectJob& job,
    size_t step) {
  const JobStep& wanted = job.spec.steps[step];
  std::vector<SidecarView*> views;
  for (SidecarView& view : sidecars_ | std::views::values) {
    if (IsUsable(now, view) && view.upstream.service == job.spec.service &&
        view.upstream.capacity.Covers(wanted.needs) &&
        HasLabel(view.upstream, wanted.required_label)) {
      views.push_back(&view);
    }
  }
  // Placement avoids these as long as there are others.
  const auto rest = std::ranges::partition(
      views,
      [now](const SidecarView* view) { return now >= view->avoid_until; });
  if (rest.begin() != views.begin()) {
    views.erase(rest.begin(), rest.end());
  }
  return views;
}

std::vector<Claim> DirectEntry::Impl::ComposeClaims(
    Instant now,
    const SidecarView& view) const {
  std::vector<Claim> claims;
  if (!load_sharing_) {
    claims.resize(wait_queue_.empty() ? 0 : 1);
    return claims;
  }
  for (const ClaimedTasks& claimed : view.claimed) {
    const auto it = jobs_.all().find(claimed.job);
    if (it == jobs_.all().end()) {
      continue;
    }
    const DirectJob& job = it->second;
    const uint32_t tasks =
        std::min(claimed.tasks, CountReady(job, claimed.step));
    if (tasks > 0) {
      const Duration time_left = std::max(job.place_by - now, Duration(0));
      claims.push_back({MayHaveRun(job), claimed.priority, time_left.count(),
                        job.spec.steps[claimed.step].needs, tasks});
    }
  }
  return claims;
}

}  // namespace filbertwick::core::direct

#include "filbertwick/core/direct/direct_entry_impl.h"

namespace filbertwick::core::direct {
namespace {

/// A placement pass leaves out the further jobs of a service once this many of
/// them have to wait on; bounds its time under overload.
constexpr size_t kMaxJobsLeftWaiting = 16;

/// Shortest interval between two rebuilds of the needs that wait. They are kept
/// longer than necessary in between, which only costs futile passes.
constexpr Duration kWaitingNeedsInterval = std::chrono::milliseconds(50);

}  // namespace

// The pass over the waiting jobs.

void DirectEntry::Impl::PlaceWaitingJobs(Instant now) {
  placement_due_ = false;
  upstreams_.Refresh(now);
  if (wait_queue_.empty()) {
    waiting_needs_.clear();
    return;
  }
  if (!MayPlaceMore(now)) {
    return;
  }
  upstreams_.BeginPass();
  waiting_changed_ = false;
  // A gain within the pass, such as another set of avoided upstreams, comes too
  // late for the first jobs.
  gains_tried_ = upstreams_.gains();
  recheck_at_ = containment_.IsActive(now) ? now : Instant::max();
  /// Jobs left waiting by service. The limit is one of each service: jobs that
  /// wait for a full service must not keep those of others from free upstreams.
  std::map<std::string_view, size_t> jobs_left_waiting;
  size_t services_left_out = 0;
  bool has_placed = false;
  /// Services whose containment zone has no room for a confined job.
  std::set<std::string_view> full_zones;
  for (const uint64_t number : wait_queue_.InPlacementOrder()) {
    DirectJob& job = *jobs_.Find(number);
    size_t& left_waiting = jobs_left_waiting[job.spec.service];
    if (left_waiting >= kMaxJobsLeftWaiting) {
      continue;
    }
    const bool is_confined = containment_.IsConfined(now, job.spec.queue);
    if (is_confined && full_zones.contains(job.spec.service)) {
      continue;
    }
    const uint64_t runs_before = job.next_run_number;
    const bool is_done = PlaceReadyTasks(now, job, true);
    const bool has_changed = job.next_run_number != runs_before;
    has_placed |= has_changed;
    if (is_done) {
      wait_queue_.Remove(number);
      continue;
    }
    if (has_changed) {
      Enqueue(job);
    }
    if (now < job.place_by) {
      // Slower upstreams are soon enough for the job from then on.
      recheck_at_ = std::min(recheck_at_, job.place_by);
    }
    if (is_confined) {
      // Confined jobs wait for the zone only, however many they are.
      full_zones.insert(job.spec.service);
      continue;
    }
    // A job that waits gets the next free capacity that it can use. The jobs
    // behind it get only what it can't use: other services, machines without
    // its label, upstreams that are too small or too slow for it.
    if (++left_waiting >= kMaxJobsLeftWaiting &&
        upstreams_.Find(job.spec.service) != nullptr) {
      ++services_left_out;
    }
    if (services_left_out >= upstreams_.CountServices() ||
        !upstreams_.HasUnreservedCpu()) {
      break;
    }
  }
  upstreams_.BeginPass();
  if (!has_placed && now - waiting_needs_built_at_ >= kWaitingNeedsInterval) {
    RebuildWaitingNeeds(now);
  }
}

bool DirectEntry::Impl::MayPlaceMore(Instant now) {
  if (!waiting_changed_ && upstreams_.gains() == gains_tried_ &&
      now < recheck_at_) {
    return false;
  }
  return std::ranges::any_of(waiting_needs_, [this](const WaitingNeeds& it) {
    UpstreamTable::Service* service = upstreams_.Find(it.service);
    return service != nullptr && service->index.HasRoomFor(it.needs);
  });
}

void DirectEntry::Impl::NoteWaitingNeeds(const DirectJob& job) {
  for (const JobTask& task : job.tasks) {
    if (task.phase != TaskPhase::kReady) {
      continue;
    }
    const Resources& needs = job.spec.steps[task.step].needs;
    if (std::ranges::any_of(waiting_needs_, [&](const WaitingNeeds& it) {
          return needs.Covers(it.needs) && it.service == job.spec.service;
        })) {
      continue;
    }
    std::erase_if(waiting_needs_, [&](const WaitingNeeds& it) {
      return it.needs.Covers(needs) && it.service == job.spec.service;
    });
    waiting_needs_.push_back({job.spec.service, needs});
  }
}

void DirectEntry::Impl::RebuildWaitingNeeds(Instant now) {
  waiting_needs_built_at_ = now;
  waiting_needs_.clear();
  for (const uint64_t number : wait_queue_.InPlacementOrder()) {
    NoteWaitingNeeds(*jobs_.Find(number));
  }
}

// The rules for one job.

bool DirectEntry::Impl::IsUsable(Instant now, const SidecarView& view) const {
  return view.accepts_tasks && !IsUnresponsive(now, view) &&
         !zones_out_.contains(view.upstream.zone);
}

double DirectEntry::Impl::MaxRunTimeRatio(Instant now,
                                          const DirectJob& job,
                                          size_t step,
                                          double slow_ratio) const {
  const Duration path = job.graph.PathFrom(step);
  if (path <= Duration(0)) {
    return std::numeric_limits<double>::infinity();
  }
  const double lateness = now < job.place_by ? 1 : settings_.max_lateness;
  const auto useful_time =
      static_cast<double>(job.spec.target.count()) * lateness -
      static_cast<double>((now - job.arrived).count());
  return std::max(slow_ratio, useful_time / static_cast<double>(path.count()));
}

bool DirectEntry::Impl::PlaceReadyTasks(Instant now,
                                        DirectJob& job,
                                        bool reserve) {
  upstreams_.Refresh(now);
  if (std::ranges::any_of(job.tasks, [this](const JobTask& task) {
        return task.phase == TaskPhase::kReady &&
               stopping_tasks_.contains(task.name);
      })) {
    // A run of this task for a removed job may not have ended yet.
    return false;
  }
  UpstreamTable::Service* service = upstreams_.Find(job.spec.service);
  if (service == nullptr) {
    return std::ranges::none_of(job.tasks, [](const JobTask& task) {
      return task.phase == TaskPhase::kReady;
    });
  }
  std::vector<size_t> ready;
  std::vector<policy::PlacementTask> tasks =
      DescribeReadyTasks(now, job, service->speed.SlowRatio(), ready);
  ApplyContainment(now, job, *service, tasks);
  const auto siblings = CountSiblings(job, *service, tasks);
  for (const auto& [upstream, count] : siblings) {
    service->index.SetSiblings(upstream, count);
  }
  const auto places = service->index.Place(tasks, job.number);
  std::vector<size_t> placed;
  std::vector<SidecarView*> chosen;
  for (size_t n = 0; n < places.size(); ++n) {
    if (places[n]) {
      placed.push_back(ready[n]);
      chosen.push_back(&upstreams_.view(*places[n]));
    } else if (reserve) {
      service->index.Reserve(tasks[n]);
    }
  }
  for (const auto& upstream : siblings | std::views::keys) {
    service->index.SetSiblings(upstream, 0);
  }
  SendOffers(now, job, placed, chosen);
  return placed.size() == ready.size();
}

std::vector<policy::PlacementTask> DirectEntry::Impl::DescribeReadyTasks(
    Instant now,
    const DirectJob& job,
    double slow_ratio,
    std::vector<size_t>& ready) const {
  std::vector<policy::PlacementTask> tasks;
  size_t step_of_limit = job.spec.steps.size();
  double max_ratio = 0;
  for (size_t n = 0; n < job.tasks.size(); ++n) {
    const JobTask& task = job.tasks[n];
    if (task.phase != TaskPhase::kReady) {
      continue;
    }
    if (task.step != step_of_limit) {
      step_of_limit = task.step;
      max_ratio = MaxRunTimeRatio(now, job, task.step, slow_ratio);
    }
    const JobStep& step = job.spec.steps[task.step];
    policy::PlacementTask item = {
        step.needs,
        step.required_label,
        step.data_rack,
        task.failures > 0 && task.failures + 1 >= job.spec.max_attempts,
        max_ratio,
        step.max_tasks_per_upstream,
        std::nullopt};
    item.is_crash_suspect = task.crashes.IsSuspect();
    if (!task.sidecar.empty()) {
      item.avoided_candidate = sidecars_.at(task.sidecar).handle;
    }
    tasks.push_back(item);
    ready.push_back(n);
  }
  return tasks;
}

std::map<policy::UpstreamHandle, size_t> DirectEntry::Impl::CountSiblings(
    const DirectJob& job,
    const UpstreamTable::Service& service,
    std::span<const policy::PlacementTask> tasks) const {
  std::map<policy::UpstreamHandle, size_t> siblings;
  if (std::ranges::none_of(tasks, [](const policy::PlacementTask& task) {
        return task.max_tasks_per_upstream > 0;
      })) {
    return siblings;
  }
  for (const JobTask& task : job.tasks) {
    if (task.phase == TaskPhase::kPlaced) {
      const policy::UpstreamHandle upstream = sidecars_.at(task.sidecar).handle;
      if (service.index.Contains(upstream)) {
        ++siblings[upstream];
      }
    }
  }
  return siblings;
}

void DirectEntry::Impl::ApplyContainment(
    Instant now,
    const DirectJob& job,
    UpstreamTable::Service& service,
    std::span<policy::PlacementTask> tasks) {
  if (!containment_.IsActive(now)) {
    return;
  }
  upstreams_.MarkContainmentZone(now, job.spec.service, service);
  const auto zone_has_label = [&](std::string_view label) {
    return std::ranges::any_of(
        service.zone, [&](policy::UpstreamHandle upstream) {
          return HasLabel(upstreams_.view(upstream).upstream, label);
        });
  };
  using policy::ZoneRestriction;
  const bool is_confined = containment_.IsConfined(now, job.spec.queue);
  for (policy::PlacementTask& task : tasks) {
    if (is_confined) {
      task.zone = zone_has_label(task.required_label) ? ZoneRestriction::kInside
                                                      : ZoneRestriction::kNone;
      continue;
    }
    task.zone = ZoneRestriction::kOutside;
    if (!service.index.AnyCouldTake(task)) {
      task.zone = ZoneRestriction::kNone;
    }
  }
}

// What follows from a placement.

void DirectEntry::Impl::SendOffers(Instant now,
                                   DirectJob& job,
                                   std::span<const size_t> tasks,
                                   std::span<SidecarView* const> places) {
  if (tasks.empty()) {
    return;
  }
  // Ordered by name, so that the order of messages is deterministic.
  std::map<InstanceName, Offer> offers;
  for (size_t n = 0; n < tasks.size(); ++n) {
    JobTask& task = job.tasks[tasks[n]];
    const JobStep& step = job.spec.steps[task.step];
    SidecarView& view = *places[n];
    task.phase = TaskPhase::kPlaced;
    task.run = job.next_run_number;
    task.sidecar = view.name;
    const TaskRun run = {task.name, task.run};
    jobs_.Bind(run, {job.number, tasks[n]});
    if (task.crashes.IsSuspect()) {
      view.suspect_runs.insert(run);
    }
    view.free -= step.needs;
    upstreams_.Touch(view);
    offers[view.name].tasks.push_back({run, step.needs, step.estimate.count()});
  }
  ++job.next_run_number;
  LogPlacement(now, job, tasks.size(), offers);
  for (auto& [name, offer] : offers) {
    SidecarView& view = sidecars_.at(name);
    offer.spec = job.spec.spec;
    offer.service = job.spec.service;
    offer.queue = job.spec.queue;
    for (Offer& part : SplitOffer(std::move(offer))) {
      const uint64_t id = ++last_offer_id_;
      part.id = id;
      const size_t bytes = wire::EncodedSize(part);
      view.offers.emplace(id, OpenOffer{std::move(part),
                                        {},
                                        policy::ResendTimer(now),
                                        job.number,
                                        bytes});
    }
    view.send_due = true;
  }
}

}  // namespace filbertwick::core::direct

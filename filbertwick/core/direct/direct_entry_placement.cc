#include "filbertwick/core/direct/direct_entry_impl.h"
#include "filbertwick/core/direct/names.h"

namespace filbertwick::core::direct {
namespace {

/// Longest wait until taken ends are told to the sidecar; below the time after
/// which it tells them again.
constexpr Duration kAckDelay = std::chrono::milliseconds(12);

}  // namespace

void DirectEntry::Impl::PlaceWaiting(Instant now) {
  place_due_ = false;
  for (const uint64_t number : line_.InPlacementOrder()) {
    DirectJob& job = *jobs_.Find(number);
    if (!Place(now, job)) {
      // What is next in line gets the next room.
      Wait(job);
      break;
    }
    line_.Remove(number);
  }
}

bool DirectEntry::Impl::IsUsable(Instant now, const SidecarView& view) const {
  return view.open && !IsSilent(now, view) &&
         !zones_out_.contains(view.upstream.zone);
}

bool DirectEntry::Impl::Place(Instant now, DirectJob& job) {
  std::vector<size_t> ready;
  std::vector<policy::PlacementTask> tasks;
  std::vector<SidecarView*> views;
  std::vector<policy::PlacementCandidate> candidates;
  for (SidecarView& view : sidecars_ | std::views::values) {
    if (!IsUsable(now, view) || view.upstream.service != job.spec.service) {
      continue;
    }
    views.push_back(&view);
    candidates.push_back({view.free, view.upstream.capacity, view.slowness,
                          view.IsSuspect(now), view.IsOnTrial(),
                          view.upstream.labels,
                          static_cast<size_t>(std::ranges::count_if(
                              job.tasks, [&](const JobTask& task) {
                                return task.phase == TaskPhase::kPlaced &&
                                       task.place == view.name;
                              }))});
  }
  for (size_t n = 0; n < job.tasks.size(); ++n) {
    const JobTask& task = job.tasks[n];
    if (task.phase != TaskPhase::kReady) {
      continue;
    }
    if (stopping_.contains(task.name)) {
      return false;
    }
    const JobStep& step = job.spec.steps[task.step];
    policy::PlacementTask item = {step.needs, step.required_label,
                                  step.data_rack, step.max_siblings,
                                  std::nullopt};
    const auto last = std::ranges::find_if(views, [&](const SidecarView* view) {
      return view->name == task.place;
    });
    if (last != views.end()) {
      item.avoided_candidate = static_cast<size_t>(last - views.begin());
    }
    tasks.push_back(item);
    ready.push_back(n);
  }
  const auto places = policy::PlaceTasks(tasks, candidates, job.number);
  std::vector<size_t> placed;
  std::vector<SidecarView*> chosen;
  for (size_t n = 0; n < places.size(); ++n) {
    if (places[n]) {
      placed.push_back(ready[n]);
      chosen.push_back(views[*places[n]]);
    }
  }
  SendOffers(now, job, placed, chosen);
  return placed.size() == ready.size();
}

void DirectEntry::Impl::SendOffers(Instant now,
                                   DirectJob& job,
                                   std::span<const size_t> tasks,
                                   std::span<SidecarView* const> places) {
  // By name, so that the order of messages repeats.
  std::map<InstanceName, Offer> offers;
  for (size_t n = 0; n < tasks.size(); ++n) {
    JobTask& task = job.tasks[tasks[n]];
    const JobStep& step = job.spec.steps[task.step];
    SidecarView& view = *places[n];
    task.phase = TaskPhase::kPlaced;
    task.run = job.next_run;
    task.place = view.name;
    const TaskRun run = {task.name, task.run};
    jobs_.Bind(run, {job.number, tasks[n]});
    view.free -= step.needs;
    offers[view.name].tasks.push_back({run, step.needs, step.estimate.count()});
  }
  ++job.next_run;
  LogPlacement(now, job, tasks.size(), offers);
  for (auto& [name, offer] : offers) {
    const uint64_t id = ++last_offer_;
    SidecarView& view = sidecars_.at(name);
    offer.id = id;
    offer.spec = job.spec.spec;
    offer.service = job.spec.service;
    view.offers[id] = {std::move(offer), now};
    view.send_due = true;
  }
}

void DirectEntry::Impl::OnMessage(Instant now, const SidecarMessage& message) {
  const auto it = sidecars_.find(message.from.name);
  if (it == sidecars_.end() || message.to_incarnation != self_.incarnation) {
    return;
  }
  SidecarView& view = it->second;
  // Only a life that answers what was sent after the present one was last heard
  // can be a later one: incarnations come from wall clocks, which may jump
  // back.
  if (message.from.incarnation != view.incarnation &&
      FromMicros(message.asked_at) <= view.heard) {
    return;
  }
  if (message.from.incarnation != view.incarnation) {
    BeginLife(view, message.from.incarnation);
  }
  for (const RunEnd& end : message.ends) {
    if (end.number > view.acknowledged_end) {
      view.acknowledged_end = end.number;
      view.ack_due = std::min(view.ack_due, now + kAckDelay);
      TakeEnd(now, view, end);
    }
  }
  for (const OfferReply& reply : message.replies) {
    TakeReply(now, view, reply);
  }
  if (message.clock < view.clock) {
    return;
  }
  if (view.open != message.open) {
    effects_.push_back(LogLine("sidecar_changed")
                           .Add("sidecar", view.name.value())
                           .Add("open", static_cast<int64_t>(message.open))
                           .Add("zone", message.upstream.zone.value()));
  }
  view.clock = message.clock;
  view.heard = now;
  view.asked = Instant::max();
  view.open = message.open;
  view.upstream = message.upstream;
  view.free = message.free;
  for (const OpenOffer& open : view.offers | std::views::values) {
    for (const OfferedTask& task : open.offer.tasks) {
      view.free -= task.needs;
    }
  }
  if (view.open) {
    for (const TaskRun& run : std::exchange(view.limbo, {})) {
      TakeEnd(now, view, {0, run, EndKind::kLost, 0});
    }
  }
  place_due_ = true;
}

void DirectEntry::Impl::BeginLife(SidecarView& view, uint64_t incarnation) {
  if (view.incarnation != 0) {
    effects_.push_back(
        LogLine("sidecar_restarted")
            .Add("sidecar", view.name.value())
            .Add("runs", static_cast<int64_t>(view.runs.size())));
  }
  view.limbo = view.TakeOpenRuns();
  view.incarnation = incarnation;
  view.clock = 0;
  view.open = false;
  view.acknowledged_end = 0;
  view.send_due = true;
  view.wants_reply = true;
}

void DirectEntry::Impl::TakeReply(Instant now,
                                  SidecarView& view,
                                  const OfferReply& reply) {
  const auto it = view.offers.find(reply.id);
  if (it == view.offers.end()) {
    return;
  }
  const Offer offer = std::move(it->second.offer);
  view.offers.erase(it);
  for (size_t n = 0; n < offer.tasks.size(); ++n) {
    const TaskRun& run = offer.tasks[n].run;
    const Refusal refusal =
        n < reply.refusals.size() ? reply.refusals[n] : Refusal::kClosed;
    if (refusal != Refusal::kNone) {
      ForgetStop(view, run);
      TakeRefusal(run, refusal);
      continue;
    }
    view.runs.insert(run);
    if (const auto ref = jobs_.FindRun(run)) {
      DirectJob& job = *jobs_.Find(ref->job);
      if (!job.begun) {
        job.begun = true;
        retry_after_.OnJobPlaced(now);
      }
    }
  }
}

bool DirectEntry::Impl::ForgetStop(SidecarView& view, const TaskRun& run) {
  if (view.stops.erase(run) == 0) {
    return false;
  }
  stopping_.erase(stopping_.find(run.task));
  return true;
}

void DirectEntry::Impl::TakeRefusal(const TaskRun& run, Refusal refusal) {
  const auto ref = jobs_.FindRun(run);
  if (!ref) {
    return;
  }
  DirectJob& job = *jobs_.Find(ref->job);
  JobTask& task = job.tasks[ref->task];
  if (refusal == Refusal::kStale || refusal == Refusal::kNoRoom) {
    // Nothing against the place: the answer brought fresh knowledge of it.
    task.place = InstanceName();
  }
  ReadyAgain(job, task);
}

void DirectEntry::Impl::ReadyAgain(DirectJob& job, JobTask& task) {
  jobs_.Unbind({task.name, task.run});
  task.phase = TaskPhase::kReady;
  Wait(job);
  place_due_ = true;
}

void DirectEntry::Impl::TakeEnd(Instant now,
                                SidecarView& view,
                                const RunEnd& end) {
  view.runs.erase(end.run);
  place_due_ |= ForgetStop(view, end.run);
  // The end may overtake the reply to its offer.
  for (OpenOffer& open : view.offers | std::views::values) {
    std::erase_if(open.offer.tasks,
                  [&](const OfferedTask& task) { return task.run == end.run; });
  }
  const auto ref = jobs_.FindRun(end.run);
  if (!ref) {
    return;
  }
  DirectJob& job = *jobs_.Find(ref->job);
  JobTask& task = job.tasks[ref->task];
  LearnFromEnd(now, end, job.spec.steps[task.step].estimate, view);
  TakeTaskEnd(now, view, job, task, end);
}

void DirectEntry::Impl::TakeTaskEnd(Instant now,
                                    SidecarView& view,
                                    DirectJob& job,
                                    JobTask& task,
                                    const RunEnd& end) {
  job.begun |= end.kind != EndKind::kNotStarted;
  if (end.kind == EndKind::kDone) {
    jobs_.Unbind(end.run);
    DirectJobTable::Complete(job, task);
    if (job.left == 0) {
      Answer(now, job, JobOutcome::kCompleted, "done");
    } else if (std::ranges::any_of(job.tasks, [](const JobTask& other) {
                 return other.phase == TaskPhase::kReady;
               })) {
      Wait(job);
      place_due_ = true;
    }
    return;
  }
  effects_.push_back(LogLine("run_ended_badly")
                         .Add("job", job.spec.id)
                         .Add("task", end.run.task)
                         .Add("sidecar", view.name.value())
                         .Add("kind", ToString(end.kind))
                         .Add("took_us", end.took_micros));
  if (end.kind == EndKind::kFailed &&
      ++task.failures >= job.spec.max_attempts) {
    task.phase = TaskPhase::kDone;
    Answer(now, job, JobOutcome::kFailed, "attempts_used");
    return;
  }
  ReadyAgain(job, task);
}

void DirectEntry::Impl::GiveUpOn(Instant now, SidecarView& view) {
  effects_.push_back(LogLine("sidecar_given_up")
                         .Add("sidecar", view.name.value())
                         .Add("silent_us", (now - view.heard).count()));
  // What ran there was stopped or has lapsed: the sidecar has no newer proof
  // of life from here than its own reading that arrived at `heard`.
  for (const TaskRun& run : view.TakeOpenRuns()) {
    TakeEnd(now, view, {0, run, EndKind::kLost, 0});
  }
}

}  // namespace filbertwick::core::direct

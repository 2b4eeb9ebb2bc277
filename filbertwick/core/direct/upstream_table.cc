#include "filbertwick/core/direct/upstream_table.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <ranges>

#include "filbertwick/core/policy/crash_containment.h"

namespace filbertwick::core::direct {

using policy::UpstreamHandle;

namespace {

/// Returns the machine kind of an upstream: its first label.
std::string_view KindOf(const SidecarView& view) {
  const std::vector<std::string>& labels = view.upstream.labels;
  return labels.empty() ? std::string_view() : labels.front();
}

}  // namespace

void UpstreamTable::Rebuild(std::map<InstanceName, SidecarView>& sidecars) {
  views_.clear();
  due_to_send_.clear();
  for (SidecarView& view : sidecars | std::views::values) {
    view.handle = static_cast<UpstreamHandle>(views_.size());
    views_.push_back(&view);
    view.send_due.Attach(due_to_send_, view.handle);
  }
  for (Service& service : services_ | std::views::values) {
    service.index.Reset(views_.size());
    service.slow.clear();
    service.speed.Clear();
  }
  places_.assign(views_.size(), Place());
  touched_.clear();
  timers_.clear();
  OnProfileChanged();
  TouchAll();
}

std::vector<SidecarView*> UpstreamTable::TakeDueToSend() {
  std::vector<UpstreamHandle> due = std::exchange(due_to_send_, {});
  std::ranges::sort(due);
  const auto repeated = std::ranges::unique(due);
  due.erase(repeated.begin(), repeated.end());
  std::vector<SidecarView*> views;
  for (const UpstreamHandle upstream : due) {
    if (views_[upstream]->send_due) {
      views.push_back(views_[upstream]);
    }
  }
  return views;
}

void UpstreamTable::Touch(const SidecarView& view) {
  Place& place = places_[view.handle];
  if (!place.is_touched) {
    place.is_touched = true;
    touched_.push_back(view.handle);
  }
}

void UpstreamTable::TouchAll() {
  std::ranges::for_each(views_,
                        [this](const SidecarView* view) { Touch(*view); });
}

void UpstreamTable::Refresh(Instant now) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    const UpstreamHandle upstream = timers_.begin()->second;
    SetTimer(upstream, Instant::max());
    Touch(*views_[upstream]);
  }
  if (touched_.empty()) {
    return;
  }
  for (const UpstreamHandle upstream : std::exchange(touched_, {})) {
    places_[upstream].is_touched = false;
    Evaluate(now, upstream);
  }
  for (Service& service : services_ | std::views::values) {
    UpdateSlowRatios(now, service);
  }
}

void UpstreamTable::UpdateSlowRatios(Instant now, Service& service) {
  std::vector<double> slow_ratios = service.speed.SlowRatios();
  if (slow_ratios == service.slow_ratios) {
    return;
  }
  service.slow_ratios = std::move(slow_ratios);
  // The ratios change the state of these upstreams only. Evaluate() may change
  // the set.
  const std::vector<UpstreamHandle> slow(service.slow.begin(),
                                         service.slow.end());
  for (const UpstreamHandle upstream : slow) {
    Evaluate(now, upstream);
  }
}

void UpstreamTable::Evaluate(Instant now, UpstreamHandle upstream) {
  ++evaluated_;
  SidecarView& view = *views_[upstream];
  Place& place = places_[upstream];
  if (!hooks_.is_usable(now, view)) {
    RemoveFromService(upstream);
    // A sidecar that counts as unresponsive may be found to be responsive after
    // all; the others become usable by a message.
    SetTimer(upstream, view.accepts_tasks
                           ? NextTimedChange(now, view, kSlowRunTimeFactor)
                           : Instant::max());
    return;
  }
  auto it = services_.find(view.upstream.service);
  if (it == services_.end()) {
    it = services_.try_emplace(view.upstream.service).first;
    it->second.index.Reset(views_.size());
  }
  Service& service = it->second;
  if (place.service != &service) {
    RemoveFromService(upstream);
    place.service = &service;
  }
  const std::string_view kind = KindOf(view);
  const double expected = service.speed.ExpectedRatioOf(kind);
  const bool is_measured = view.run_time_measured_at != Instant();
  if (!is_measured) {
    view.run_time_ratio = expected;
  }
  service.speed.Set(upstream, kind, view.run_time_ratio, is_measured);
  const double slow_ratio = service.speed.SlowRatioOf(kind);
  view.few_runs_ratio =
      service.speed.MedianOfOtherSpeed(kind) ? slow_ratio : kSlowRunTimeFactor;
  service.index.Set(upstream,
                    {.free = view.free,
                     .capacity = view.upstream.capacity,
                     .run_time_ratio = view.IsSpeedUnknown(now, slow_ratio)
                                           ? expected
                                           : view.run_time_ratio,
                     .suspect = view.ShouldAvoid(now, slow_ratio),
                     .on_probation = view.IsOnProbation(now, slow_ratio),
                     .labels = view.upstream.labels,
                     .siblings = 0,
                     .in_zone = service.zone.contains(upstream),
                     .hosts_crash_suspect = !view.suspect_runs.empty()});
  if (view.run_time_ratio > kSlowRunTimeFactor) {
    service.slow.insert(upstream);
  } else {
    service.slow.erase(upstream);
  }
  SetTimer(upstream, NextTimedChange(now, view, slow_ratio));
}

void UpstreamTable::RemoveFromService(UpstreamHandle upstream) {
  Service*& service = places_[upstream].service;
  if (service != nullptr) {
    service->index.Remove(upstream);
    service->slow.erase(upstream);
    service->speed.Remove(upstream);
    service = nullptr;
  }
}

void UpstreamTable::SetTimer(UpstreamHandle upstream, Instant due) {
  Instant& present = places_[upstream].due;
  if (present == due) {
    return;
  }
  if (present != Instant::max()) {
    timers_.erase({present, upstream});
  }
  if (due != Instant::max()) {
    timers_.emplace(due, upstream);
  }
  present = due;
}

Instant UpstreamTable::NextTimedChange(Instant now,
                                       const SidecarView& view,
                                       double slow_ratio) const {
  Instant next = view.NextTimedChange(now, slow_ratio);
  if (const Instant oldest = view.unanswered.Oldest();
      oldest != Instant::max()) {
    next = std::min(next,
                    std::max(oldest + hooks_.reply_timeout, now) + Duration(1));
  }
  return next;
}

UpstreamTable::Service* UpstreamTable::Find(std::string_view service) {
  const auto it = services_.find(service);
  return it == services_.end() ? nullptr : &it->second;
}

double UpstreamTable::SlowRatioOf(const SidecarView& view) const {
  const auto it = services_.find(view.upstream.service);
  return it == services_.end() ? kSlowRunTimeFactor
                               : it->second.speed.SlowRatioOf(KindOf(view));
}

void UpstreamTable::MarkContainmentZone(Instant now,
                                        std::string_view name,
                                        Service& it) {
  if (it.zone_selected_at == profile_changes_) {
    return;
  }
  it.zone_selected_at = profile_changes_;
  // Upstreams that are down belong to the zone as well: they return.
  std::vector<InstanceName> names;
  for (const SidecarView* view : views_) {
    if (view->upstream.service == name) {
      names.push_back(view->name);
    }
  }
  const std::set<InstanceName> zone = policy::SelectContainmentZone(names);
  it.zone.clear();
  for (const SidecarView* view : views_) {
    if (zone.contains(view->name)) {
      it.zone.insert(view->handle);
    }
  }
  for (UpstreamHandle upstream = 0; upstream < views_.size(); ++upstream) {
    if (it.index.Contains(upstream)) {
      Evaluate(now, upstream);
    }
  }
}

bool UpstreamTable::HasUnreservedCpu() {
  return std::ranges::any_of(
      services_ | std::views::values,
      [](Service& service) { return service.index.HasUnreservedCpu(); });
}

void UpstreamTable::BeginPass() {
  for (Service& service : services_ | std::views::values) {
    service.index.BeginPass();
  }
}

uint64_t UpstreamTable::gains() const {
  return std::transform_reduce(
      services_.begin(), services_.end(), uint64_t{0}, std::plus<>(),
      [](const auto& item) { return item.second.index.gains(); });
}

uint64_t UpstreamTable::examined() const {
  return std::transform_reduce(
      services_.begin(), services_.end(), evaluated_, std::plus<>(),
      [](const auto& item) { return item.second.index.examined(); });
}

}  // namespace filbertwick::core::direct

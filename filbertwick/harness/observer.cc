#include "filbertwick/harness/observer.h"

#include <fmt/format.h>

#include <algorithm>

#include "filbertwick/harness/executor.h"

namespace filbertwick::harness {
namespace {

/// Returns `job/index`, the name of a task in violation texts.
std::string TaskName(const wire::TaskKey& key) {
  return fmt::format("{}/{}", key.job.value(), key.index);
}

/// Returns whether task `index` of the job has this payload.
bool RequestsPayload(const wire::JobSpec& spec,
                     uint32_t index,
                     const std::string& payload) {
  return index < spec.payloads.size() && spec.payloads[index] == payload;
}

}  // namespace

void Observer::OnRequest(wire::RequestId request,
                         const wire::JobSpec& spec,
                         Duration now) {
  requests_[request] = spec.id;
  Request record;
  record.id = request;
  record.spec = spec;
  record.sent = now;
  jobs_[spec.id].requests.push_back(std::move(record));
}

void Observer::OnQuery(wire::RequestId request,
                       const wire::JobSpec& spec,
                       wire::JobQuery query,
                       Duration now) {
  OnRequest(request, spec, now);
  jobs_[spec.id].requests.back().query = query;
}

void Observer::OnAnswer(wire::RequestId request,
                        const wire::JobAnswer& answer,
                        Duration now) {
  now_ = now;
  const auto it = requests_.find(request);
  if (it == requests_.end()) {
    Fail("own_answer", fmt::format("request {} was never sent", request));
    return;
  }
  Job& job = jobs_[it->second];
  const auto requested = std::ranges::find(job.requests, request, &Request::id);
  if (answer.id != it->second) {
    Fail("own_answer",
         fmt::format("request {} for {} got the answer of {}", request,
                     it->second.value(), answer.id.value()));
    return;
  }
  if (requested->answered >= Duration(0)) {
    Fail("one_answer", fmt::format("request {} was answered twice", request));
    return;
  }
  requested->answered = now;
  CheckAnswer(job, *requested, answer);
}

void Observer::OnStrayAnswer(const InstanceName& entry,
                             wire::RequestId request,
                             Duration now) {
  now_ = now;
  Fail("one_answer", fmt::format("{} answered request {} that it does not hold",
                                 entry.value(), request));
}

void Observer::CheckAnswer(Job& job,
                           Request& request,
                           const wire::JobAnswer& answer) {
  const size_t n = request.spec.payloads.size();
  if (answer.outcome == wire::JobOutcome::kRefused) {
    if (!answer.tasks.empty()) {
      Fail("whole_answer",
           fmt::format("the refusal of {} has results", answer.id.value()));
    }
    // The refusal of a query says nothing about the tasks of the job.
    if (request.query) {
      return;
    }
    request.covers_this_request_only = !answer.not_run;
    for (uint32_t index = 0; index < n; ++index) {
      request.not_run.insert(index);
      CheckNotRun(job, request, index);
    }
    return;
  }
  // Requests with the same id may carry different bodies. A query is answered
  // for whichever body the deployment accepted, so any of their sizes is valid.
  const bool size_matches =
      request.query ? std::ranges::any_of(job.requests,
                                          [&](const Request& it) {
                                            return it.spec.payloads.size() ==
                                                   answer.tasks.size();
                                          })
                    : answer.tasks.size() == n;
  if (!size_matches) {
    Fail("whole_answer",
         fmt::format("{} has {} tasks, its answer {}", answer.id.value(), n,
                     answer.tasks.size()));
    return;
  }
  CheckTasks(job, request, answer);
}

void Observer::CheckTasks(const Job& job,
                          Request& request,
                          const wire::JobAnswer& answer) {
  size_t succeeded = 0;
  for (uint32_t index = 0; index < answer.tasks.size(); ++index) {
    const wire::TaskResult& task = answer.tasks[index];
    const wire::TaskKey key{answer.id, index};
    switch (task.outcome) {
      case wire::TaskOutcome::kSucceeded:
        ++succeeded;
        if (!IsExpectedResult(job, request, index, task.body)) {
          Fail("own_result", fmt::format("{} got the wrong result {}",
                                         TaskName(key), task.body));
        }
        break;
      case wire::TaskOutcome::kRan:
        if (!job.starts.contains(index)) {
          Fail("true_outcome",
               fmt::format("{} is reported as ran but never started",
                           TaskName(key)));
        }
        break;
      case wire::TaskOutcome::kNotRun:
        request.not_run.insert(index);
        CheckNotRun(job, request, index);
        break;
      case wire::TaskOutcome::kMayHaveRun:
        break;
    }
  }
  const bool all = succeeded == answer.tasks.size();
  const bool complete = answer.outcome == wire::JobOutcome::kComplete;
  if (all != complete) {
    Fail("whole_answer",
         fmt::format("{} is {} with {} of {} results", answer.id.value(),
                     wire::ToString(answer.outcome), succeeded,
                     answer.tasks.size()));
  }
}

bool Observer::IsExpectedResult(const Job& job,
                                const Request& request,
                                uint32_t index,
                                const std::string& body) {
  const auto matches = [&](const Request& it) {
    return index < it.spec.payloads.size() &&
           body == Executor::ResultOf(it.spec.payloads[index]);
  };
  return matches(request) ||
         (request.query && std::ranges::any_of(job.requests, matches));
}

void Observer::CheckNotRun(const Job& job,
                           const Request& request,
                           uint32_t index) {
  const auto it = job.starts.find(index);
  if (it == job.starts.end() ||
      (request.covers_this_request_only && HasOtherRequests(job, request))) {
    return;
  }
  for (const Start& start : it->second) {
    if (RequestsPayload(request.spec, index, start.payload)) {
      Fail(
          "not_run",
          fmt::format("{} is reported as not run but started at {} "
                      "{:.3f} s earlier",
                      TaskName({request.spec.id, index}), start.sidecar.value(),
                      static_cast<double>((now_ - start.when).count()) / 1e6));
      return;
    }
  }
}

bool Observer::HasOtherRequests(const Job& job, const Request& request) {
  return std::ranges::any_of(job.requests, [&](const Request& it) {
    return it.id != request.id && !it.query &&
           it.spec.payloads == request.spec.payloads;
  });
}

void Observer::OnStart(const InstanceName& sidecar,
                       const core::StartExecutionEffect& start,
                       Duration now) {
  now_ = now;
  ++starts_;
  Job& job = jobs_[start.key.job];
  std::vector<Start>& before = job.starts[start.key.index];
  CheckDoubleStart(job, start, before);
  CheckStartAfterRefusal(job, start);
  CheckPlacement(sidecar, start);
  const bool requested =
      std::ranges::any_of(job.requests, [&](const Request& it) {
        return RequestsPayload(it.spec, start.key.index, start.payload);
      });
  if (!requested) {
    Fail("own_request",
         fmt::format("{} started without a request", TaskName(start.key)));
  }
  before.push_back({now, sidecar, start.attempt, start.payload, false});
}

void Observer::CheckDoubleStart(const Job& job,
                                const core::StartExecutionEffect& start,
                                const std::vector<Start>& before) {
  if (before.empty()) {
    return;
  }
  const bool single =
      !job.requests.empty() && job.requests.front().spec.payloads.size() == 1;
  const bool ended = std::ranges::all_of(before, &Start::ended);
  if (deployment_.repeatable && single && ended) {
    return;
  }
  Fail("double_start",
       fmt::format(
           "{} started again; first start at {} {:.3f} s earlier",
           TaskName(start.key), before.front().sidecar.value(),
           static_cast<double>((now_ - before.front().when).count()) / 1e6));
}

void Observer::CheckStartAfterRefusal(const Job& job,
                                      const core::StartExecutionEffect& start) {
  const uint32_t index = start.key.index;
  for (const Request& refused : job.requests) {
    if (!refused.not_run.contains(index) ||
        !RequestsPayload(refused.spec, index, start.payload) ||
        (refused.covers_this_request_only && HasOtherRequests(job, refused))) {
      continue;
    }
    // Another request for the same work may have caused the start: one sent
    // after this refusal, or an earlier one that was unanswered at that time.
    bool sent_after = false;
    bool in_flight = false;
    for (const Request& other : job.requests) {
      if (other.id == refused.id || other.query ||
          !RequestsPayload(other.spec, index, start.payload)) {
        continue;
      }
      sent_after |= other.sent >= refused.answered;
      in_flight |=
          other.sent < refused.answered &&
          (other.answered < Duration(0) || other.answered > refused.answered);
    }
    if (sent_after) {
      continue;
    }
    if (in_flight) {
      ++late_starts_;
      continue;
    }
    Fail("not_run", fmt::format("{} started after it was reported as not run",
                                TaskName(start.key)));
    return;
  }
}

void Observer::CheckPlacement(const InstanceName& sidecar,
                              const core::StartExecutionEffect& start) {
  const wire::InstanceInfo* info = deployment_.Find(sidecar);
  Zone& zone = zones_[info->zone];
  ++zone.starts;
  zone.last_start = now_;
  if (zone.closed_from && now_ >= *zone.closed_from) {
    Fail("zone_out", fmt::format("{} started in {}, which is out",
                                 TaskName(start.key), info->zone.value()));
  }
  const auto it = leaving_since_.find(sidecar);
  if (it != leaving_since_.end() &&
      now_ >= it->second + settings_.leaving_bound) {
    Fail("leaving", fmt::format("{} started at {}, which is leaving",
                                TaskName(start.key), sidecar.value()));
  }
}

void Observer::OnEnd(const InstanceName& sidecar,
                     const core::ExecutionEndedEvent& event) {
  const auto job = jobs_.find(event.key.job);
  if (job == jobs_.end()) {
    return;
  }
  for (Start& start : job->second.starts[event.key.index]) {
    if (start.sidecar == sidecar && start.attempt == event.attempt) {
      start.ended = true;
    }
  }
}

void Observer::OnWorkerLost(const InstanceName& sidecar) {
  for (auto& [id, job] : jobs_) {
    for (auto& [index, starts] : job.starts) {
      for (Start& start : starts) {
        start.ended |= start.sidecar == sidecar;
      }
    }
  }
}

void Observer::OnZoneRequest(const ZoneName& zone, bool out, Duration now) {
  now_ = now;
  Zone& state = zones_[zone];
  if (out) {
    state.return_requested = state.pending_returns > 0;
    return;
  }
  ++state.pending_returns;
  state.return_requested = true;
  state.closed_from.reset();
  state.out_accepted = false;
}

void Observer::OnZoneAnswer(const ZoneName& zone,
                            bool out,
                            bool accepted,
                            Duration now) {
  now_ = now;
  Zone& state = zones_[zone];
  if (!out) {
    state.pending_returns -= state.pending_returns > 0 ? 1 : 0;
    return;
  }
  if (accepted && !state.return_requested && !state.out_accepted) {
    state.out_accepted = true;
    state.closed_from = now + settings_.zone_out_bound;
  }
}

void Observer::OnCertainlyOut(const ZoneName& zone, Duration now) {
  Zone& state = zones_[zone];
  if (state.out_accepted && !state.return_requested) {
    state.closed_from = std::min(state.closed_from.value_or(now), now);
  }
}

void Observer::OnLeaving(const InstanceName& sidecar,
                         bool leaving,
                         Duration now) {
  if (leaving) {
    leaving_since_.emplace(sidecar, now);
  } else {
    leaving_since_.erase(sidecar);
  }
}

void Observer::OnBundle(const wire::InstanceInfo& instance,
                        uint64_t version,
                        Duration now) {
  now_ = now;
  uint64_t& newest = newest_bundles_[{instance.name, instance.incarnation}];
  if (version < newest) {
    Fail("bundle_reverts", fmt::format("{} went back from version {} to {}",
                                       instance.name.value(), newest, version));
  }
  newest = std::max(newest, version);
}

void Observer::Report(const std::string& guarantee,
                      const std::string& text,
                      Duration now) {
  now_ = now;
  Fail(guarantee, text);
}

uint64_t Observer::StartsIn(const ZoneName& zone) const {
  const auto it = zones_.find(zone);
  return it == zones_.end() ? 0 : it->second.starts;
}

Duration Observer::LastStartIn(const ZoneName& zone) const {
  const auto it = zones_.find(zone);
  return it == zones_.end() ? Duration(-1) : it->second.last_start;
}

uint32_t Observer::StartsOf(const JobId& job, uint32_t index) const {
  const auto it = jobs_.find(job);
  if (it == jobs_.end() || !it->second.starts.contains(index)) {
    return 0;
  }
  return static_cast<uint32_t>(it->second.starts.at(index).size());
}

void Observer::Fail(const std::string& guarantee, std::string text) {
  violations_.push_back({now_, guarantee, std::move(text)});
}

}  // namespace filbertwick::harness

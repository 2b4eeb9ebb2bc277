#include "filbertwick/core/entry/request_router.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "filbertwick/core/state/rendezvous.h"

namespace filbertwick::core {
namespace {

/// Time after which a request without an answer is sent to the owner again, in
/// case the message or its answer was lost.
constexpr Duration kResendInterval = std::chrono::milliseconds(250);
/// Time after which a request is routed again while the owner of its shard is
/// unknown or does not serve it yet.
constexpr Duration kRecheckInterval = std::chrono::milliseconds(20);
/// Time after its deadline in which the owner can end a job and answer.
constexpr Duration kDeadlineGrace = std::chrono::milliseconds(1500);
/// Time limit of a cancel or explain request.
constexpr Duration kQueryTimeout = std::chrono::seconds(5);
/// Time limit of a fetch, which waits for a running job to end.
constexpr Duration kFetchTimeout = std::chrono::seconds(60);
/// How long a refusal is kept to refuse late copies of the request.
constexpr Duration kRefusalRetention = std::chrono::seconds(30);
/// Most refusals kept; the oldest are dropped first.
constexpr size_t kMaxKeptRefusals = 20'000;
/// Most open requests of one entry; further ones are refused.
constexpr size_t kMaxOpenRequests = 100'000;

}  // namespace

RequestRouter::RequestRouter(EntryContext& context, JobIntake& intake)
    : context_(context), intake_(intake) {}

RegionName RequestRouter::HomeRegionOf(const TeamName& team) const {
  const bundle::Bundle* bundle = context_.member.control().bundle();
  const bundle::Team* found =
      bundle == nullptr ? nullptr : bundle->FindTeam(team);
  const RegionName& own = context_.member.settings().info.region;
  return found == nullptr || found->home_region.empty() ? own
                                                        : found->home_region;
}

void RequestRouter::Submit(const Now& now,
                           SubmitEvent event,
                           Effects& effects) {
  OpenRequest open;
  open.is_job = true;
  open.id = event.spec.id;
  open.region = HomeRegionOf(event.spec.team);
  open.give_up_at = now.monotonic + event.spec.deadline + kDeadlineGrace;
  open.spec = std::move(event.spec);
  Add(now, event.request, std::move(open), effects);
}

void RequestRouter::Query(const Now& now,
                          const QueryEvent& event,
                          Effects& effects) {
  OpenRequest open;
  open.id = event.job;
  open.query = event.query;
  open.region = context_.member.settings().info.region;
  open.give_up_at =
      now.monotonic +
      (event.query == wire::JobQuery::kFetch ? kFetchTimeout : kQueryTimeout);
  Add(now, event.request, std::move(open), effects);
}

void RequestRouter::Add(const Now& now,
                        wire::RequestId request,
                        OpenRequest open,
                        Effects& effects) {
  OpenRequest& added = open_requests_[request] = std::move(open);
  Schedule(request, added, added.give_up_at);
  if (open_requests_.size() > kMaxOpenRequests) {
    wire::ForwardAnswer refusal;
    refusal.answer.id = added.id;
    refusal.answer.reason = wire::Reason::kOverloaded;
    refusal.answer.retry_after = kQueryTimeout;
    Close(request, refusal, effects);
    return;
  }
  Route(now, request, added, effects);
}

void RequestRouter::Route(const Now& now,
                          wire::RequestId request,
                          OpenRequest& open,
                          Effects& effects) {
  if (open.region != context_.member.settings().info.region) {
    RouteToRegion(now, request, open, effects);
    return;
  }
  const wire::ShardId shard = ShardOf(open.id);
  const wire::Epoch& epoch = context_.member.replica().EpochOf(shard);
  if (context_.ownership.Serves(shard)) {
    Schedule(request, open, open.give_up_at);
    RecordRecipient(open, context_.self());
    open.sent_epoch = epoch;
    ++open.sends;
    const Waiter waiter = {context_.self(), request};
    if (open.is_job) {
      // Keep `open.spec` in case another entry takes over the shard.
      intake_.Submit(now, waiter, open.spec);
    } else {
      const JobId id = open.id;
      intake_.Query(now, waiter, id, open.query);
    }
    return;
  }
  Schedule(request, open, now.monotonic + kRecheckInterval);
  if (!epoch.owner.empty() && epoch.owner != context_.self()) {
    Schedule(request, open, now.monotonic + kResendInterval);
    open.sent_epoch = epoch;
    Send(epoch.owner, request, open, effects);
  }
}

void RequestRouter::RouteToRegion(const Now& now,
                                  wire::RequestId request,
                                  OpenRequest& open,
                                  Effects& effects) {
  std::vector<InstanceName> entries;
  for (const auto& [name, info] : context_.member.control().instances()) {
    if (info.role == wire::Role::kEntry && info.region == open.region) {
      entries.push_back(name);
    }
  }
  Schedule(request, open, now.monotonic + kResendInterval);
  if (!entries.empty()) {
    // Try another entry each time, in case one is unreachable.
    const auto order = RendezvousOrder(entries, open.id.value());
    Send(order[open.sends % order.size()], request, open, effects);
  }
}

void RequestRouter::Send(const InstanceName& to,
                         wire::RequestId request,
                         OpenRequest& open,
                         Effects& effects) {
  ++open.sends;
  RecordRecipient(open, to);
  const wire::ShardId shard = ShardOf(open.id);
  if (open.is_job) {
    effects.push_back(
        SendEffect{to, wire::ForwardJob{request, shard, open.spec}});
  } else {
    effects.push_back(SendEffect{
        to, wire::ForwardQuery{request, shard, open.id, open.query}});
  }
}

void RequestRouter::RecordRecipient(OpenRequest& open, const InstanceName& to) {
  open.sent_to_several_entries |= !open.sent_to.empty() && open.sent_to != to;
  open.sent_to = to;
}

bool RequestRouter::ResendKeptRefusal(const Waiter& waiter,
                                      const JobId& id,
                                      Effects& effects) {
  const auto it = kept_refusals_.find(waiter);
  // A new incarnation of the entry may use the same request number for another
  // job.
  if (it == kept_refusals_.end() || it->second.answer.answer.id != id) {
    return false;
  }
  effects.push_back(SendEffect{waiter.entry, it->second.answer});
  return true;
}

void RequestRouter::OnForwardJob(const Now& now,
                                 const wire::Sender& from,
                                 wire::ForwardJob job,
                                 Effects& effects) {
  const Waiter waiter = {from.name, job.request};
  // A refusal is final: if a late copy of the request started the job, it would
  // run after the caller was told that it was refused.
  if (ResendKeptRefusal(waiter, job.spec.id, effects)) {
    return;
  }
  const RegionName home = HomeRegionOf(job.spec.team);
  const auto it = context_.member.control().instances().find(from.name);
  const bool from_other_region =
      it != context_.member.control().instances().end() &&
      it->second.region != context_.member.settings().info.region;
  if (context_.ownership.Serves(job.shard)) {
    intake_.Submit(now, waiter, std::move(job.spec));
    return;
  }
  if (!from_other_region) {
    wire::ForwardAnswer answer;
    answer.request = job.request;
    answer.not_owner = true;
    answer.known = {job.shard, context_.member.replica().EpochOf(job.shard)};
    effects.push_back(SendEffect{from.name, std::move(answer)});
    return;
  }
  // For an entry of another region, this entry finds the owner itself.
  const bool open_already = std::ranges::any_of(
      open_requests_,
      [&](const auto& item) { return item.second.origin == waiter; });
  if (open_already) {
    return;
  }
  OpenRequest open;
  open.origin = waiter;
  open.is_job = true;
  open.id = job.spec.id;
  open.region = home;
  open.give_up_at = now.monotonic + job.spec.deadline + kDeadlineGrace;
  open.spec = std::move(job.spec);
  Add(now, next_forwarded_request_++, std::move(open), effects);
}

void RequestRouter::OnForwardQuery(const Now& now,
                                   const wire::Sender& from,
                                   const wire::ForwardQuery& query,
                                   Effects& effects) {
  if (context_.ownership.Serves(query.shard)) {
    intake_.Query(now, {from.name, query.request}, query.job, query.query);
    return;
  }
  wire::ForwardAnswer answer;
  answer.request = query.request;
  answer.not_owner = true;
  answer.known = {query.shard, context_.member.replica().EpochOf(query.shard)};
  effects.push_back(SendEffect{from.name, std::move(answer)});
}

void RequestRouter::OnForwardAnswer(const Now& now,
                                    const wire::Sender& from,
                                    const wire::ForwardAnswer& answer,
                                    Effects& effects) {
  const auto it = open_requests_.find(answer.request);
  if (it == open_requests_.end()) {
    return;
  }
  OpenRequest& open = it->second;
  const bool refused = !answer.not_owner && open.is_job &&
                       answer.answer.outcome == wire::JobOutcome::kRefused;
  // Accept a refusal only from the entry that the request was last sent to, and
  // only if no other entry can have a copy of it.
  if (refused && (from.name != open.sent_to || open.sent_to_several_entries)) {
    return;
  }
  if (!answer.not_owner) {
    Close(answer.request, answer, effects);
    return;
  }
  if (open.region == context_.member.settings().info.region) {
    context_.member.LearnEpoch(answer.known.shard, answer.known.epoch);
  }
  const wire::Epoch& epoch =
      context_.member.replica().EpochOf(ShardOf(open.id));
  if (epoch != open.sent_epoch) {
    Route(now, answer.request, open, effects);
  } else {
    Schedule(answer.request, open, now.monotonic + kRecheckInterval);
  }
}

void RequestRouter::Deliver(const Now& now,
                            const Waiter& waiter,
                            wire::ForwardAnswer answer,
                            Effects& effects) {
  if (waiter.entry != context_.self()) {
    if (!answer.not_owner &&
        answer.answer.outcome == wire::JobOutcome::kRefused) {
      KeepRefusal(now, waiter, answer);
    }
    effects.push_back(SendEffect{waiter.entry, std::move(answer)});
    return;
  }
  const auto it = open_requests_.find(waiter.request);
  if (it == open_requests_.end()) {
    return;
  }
  // A previous owner may have a copy of the request and run the job, so this
  // refusal is not passed on; the request is routed again.
  const bool refused = answer.answer.outcome == wire::JobOutcome::kRefused &&
                       it->second.is_job && it->second.sent_to_several_entries;
  if (refused && !answer.not_owner) {
    Schedule(waiter.request, it->second, now.monotonic + kRecheckInterval);
    return;
  }
  if (!answer.not_owner) {
    Close(waiter.request, answer, effects);
    return;
  }
  Schedule(waiter.request, it->second, now.monotonic);
}

void RequestRouter::KeepRefusal(const Now& now,
                                const Waiter& waiter,
                                const wire::ForwardAnswer& answer) {
  const KeptRefusal kept = {answer, now.monotonic + kRefusalRetention};
  if (kept_refusals_.insert_or_assign(waiter, kept).second) {
    kept_refusals_by_age_.push_back(waiter);
  }
  while (!kept_refusals_by_age_.empty()) {
    const auto oldest = kept_refusals_.find(kept_refusals_by_age_.front());
    if (kept_refusals_.size() <= kMaxKeptRefusals &&
        oldest->second.until > now.monotonic) {
      return;
    }
    kept_refusals_.erase(oldest);
    kept_refusals_by_age_.pop_front();
  }
}

void RequestRouter::Close(wire::RequestId request,
                          const wire::ForwardAnswer& answer,
                          Effects& effects) {
  const auto it = open_requests_.find(request);
  if (it == open_requests_.end()) {
    return;
  }
  const OpenRequest open = std::move(it->second);
  schedule_.erase({open.due, request});
  open_requests_.erase(it);
  if (open.origin) {
    wire::ForwardAnswer forwarded = answer;
    forwarded.request = open.origin->request;
    effects.push_back(SendEffect{open.origin->entry, std::move(forwarded)});
    return;
  }
  effects.push_back(AnswerEffect{request, answer.answer, answer.explanation});
}

void RequestRouter::CloseUnanswered(wire::RequestId request,
                                    const OpenRequest& open,
                                    Effects& effects) {
  wire::ForwardAnswer answer;
  answer.answer.id = open.id;
  if (open.is_job && open.sends > 0) {
    // An owner may have started it.
    answer.answer.outcome = wire::JobOutcome::kFailed;
    answer.answer.reason = wire::Reason::kWorkerLost;
    answer.answer.tasks.resize(open.spec.payloads.size());
    for (wire::TaskResult& result : answer.answer.tasks) {
      result.outcome = wire::TaskOutcome::kMayHaveRun;
    }
  } else {
    answer.answer.reason = open.region == context_.member.settings().info.region
                               ? wire::Reason::kNoEvidence
                               : wire::Reason::kOtherRegionCutOff;
    answer.answer.retry_after = std::chrono::seconds(1);
  }
  Close(request, answer, effects);
}

void RequestRouter::OnCallerGone(wire::RequestId request) {
  const auto it = open_requests_.find(request);
  if (it != open_requests_.end()) {
    schedule_.erase({it->second.due, request});
    open_requests_.erase(it);
  }
}

void RequestRouter::Schedule(wire::RequestId request,
                             OpenRequest& open,
                             Instant at) {
  schedule_.erase({open.due, request});
  open.due = std::min(at, open.give_up_at);
  schedule_.insert({open.due, request});
}

void RequestRouter::Tick(const Now& now, Effects& effects) {
  // After a change of ownership, route the requests whose shard has a new
  // epoch.
  if (std::exchange(reroute_requested_, false)) {
    for (auto& [request, open] : open_requests_) {
      if (open.sent_epoch !=
          context_.member.replica().EpochOf(ShardOf(open.id))) {
        Schedule(request, open, now.monotonic);
      }
    }
  }
  std::vector<wire::RequestId> due;
  for (const ScheduledRequest& item : schedule_) {
    if (item.at > now.monotonic) {
      break;
    }
    due.push_back(item.request);
  }
  for (const wire::RequestId request : due) {
    const auto it = open_requests_.find(request);
    if (it == open_requests_.end()) {
      continue;
    }
    if (it->second.give_up_at <= now.monotonic) {
      const OpenRequest open = it->second;
      CloseUnanswered(request, open, effects);
    } else {
      Route(now, request, it->second, effects);
    }
  }
}

Instant RequestRouter::NextWakeup() const {
  if (reroute_requested_) {
    return Instant::min();
  }
  return schedule_.empty() ? Instant::max() : schedule_.begin()->at;
}

void RequestRouter::CloseAllUnanswered(Effects& effects) {
  while (!open_requests_.empty()) {
    const auto it = open_requests_.begin();
    const OpenRequest open = it->second;
    CloseUnanswered(it->first, open, effects);
  }
}

}  // namespace filbertwick::core

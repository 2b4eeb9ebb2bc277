#ifndef FILBERTWICK_CORE_ENTRY_REQUEST_ROUTER_H_
#define FILBERTWICK_CORE_ENTRY_REQUEST_ROUTER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "filbertwick/core/effect.h"
#include "filbertwick/core/entry/entry_context.h"
#include "filbertwick/core/entry/job_intake.h"
#include "filbertwick/core/event.h"

namespace filbertwick::core {

/// Routes each caller's request to the owner of its job's shard and the one
/// answer back to the caller.
///
/// A request is sent again when no answer comes or when the owner changes. This
/// is safe because the owner attaches a known job id to its existing job. A
/// request for another region goes to an entry of that region, which finds the
/// owner itself. A refusal is accepted only from the entry that the request was
/// last sent to, and only if the request was sent to no other entry: another
/// entry that has a copy may still run the job.
class RequestRouter {
 public:
  /// Keeps references to `context` and `intake`, which must outlive the router.
  RequestRouter(EntryContext& context, JobIntake& intake);

  /// Routes a job that a caller submitted to this entry.
  void Submit(const Now& now, SubmitEvent event, Effects& effects);
  /// Routes a caller's fetch, cancel or explain request.
  void Query(const Now& now, const QueryEvent& event, Effects& effects);
  /// Removes the request of a caller that disconnected. Its job keeps running.
  void OnCallerGone(wire::RequestId request);

  /// Handles a job that another entry forwarded: submits it if this entry
  /// serves the shard. Otherwise redirects an entry of this region, and routes
  /// the job itself for an entry of another region.
  void OnForwardJob(const Now& now,
                    const wire::Sender& from,
                    wire::ForwardJob job,
                    Effects& effects);
  /// Handles a fetch, cancel or explain request that another entry forwarded;
  /// redirects it if this entry does not serve the shard.
  void OnForwardQuery(const Now& now,
                      const wire::Sender& from,
                      const wire::ForwardQuery& query,
                      Effects& effects);
  /// Handles the answer or redirect of the entry that a request was sent to.
  void OnForwardAnswer(const Now& now,
                       const wire::Sender& from,
                       const wire::ForwardAnswer& answer,
                       Effects& effects);
  /// Delivers the answer or redirect of a job owned by this entry to a waiter.
  void Deliver(const Now& now,
               const Waiter& waiter,
               wire::ForwardAnswer answer,
               Effects& effects);

  /// Routes the requests that are due again and closes those that have reached
  /// OpenRequest::give_up_at.
  void Tick(const Now& now, Effects& effects);
  /// Makes the next Tick() route every request whose owner has changed.
  void RequestReroute() { reroute_requested_ = true; }
  /// When Tick() is due; Instant::max() when no request is open.
  Instant NextWakeup() const;
  /// Answers every open request without waiting for its owner. Used when the
  /// entry stops at its deadline.
  void CloseAllUnanswered(Effects& effects);
  /// Number of open requests, from callers of this entry and from entries of
  /// other regions.
  size_t open_count() const { return open_requests_.size(); }

 private:
  /// A request that waits for its answer.
  struct OpenRequest {
    /// Set for requests that an entry of another region forwarded.
    std::optional<Waiter> origin;
    /// True for a submission, whose job is `spec`; false for a `query`.
    bool is_job = false;
    wire::JobSpec spec;
    JobId id;
    wire::JobQuery query = wire::JobQuery::kFetch;
    /// Region whose shards contain the job.
    RegionName region;
    /// When the request is closed without an answer from the owner.
    Instant give_up_at;
    /// When the request is routed again or, at `give_up_at`, closed.
    Instant due;
    /// Entry that it was last sent to, and the epoch of the shard then.
    InstanceName sent_to;
    wire::Epoch sent_epoch;
    /// How often it was sent.
    uint32_t sends = 0;
    /// It was sent to more than one entry, so another copy may still be in
    /// flight.
    bool sent_to_several_entries = false;
  };

  /// A refusal that is repeated for later copies of the same request.
  struct KeptRefusal {
    wire::ForwardAnswer answer;
    Instant until;
  };

  /// An open request, ordered by the time at which it is due.
  struct ScheduledRequest {
    Instant at;
    wire::RequestId request = 0;

    friend auto operator<=>(const ScheduledRequest&,
                            const ScheduledRequest&) = default;
  };

  /// Sets when a request is due, at the latest at its `give_up_at`.
  void Schedule(wire::RequestId request, OpenRequest& open, Instant at);
  /// Adds a request and routes it; refuses it when too many are open.
  void Add(const Now& now,
           wire::RequestId request,
           OpenRequest open,
           Effects& effects);
  /// Submits the request here if this entry serves the shard, and otherwise
  /// sends it to the owner or to the other region.
  void Route(const Now& now,
             wire::RequestId request,
             OpenRequest& open,
             Effects& effects);
  void RouteToRegion(const Now& now,
                     wire::RequestId request,
                     OpenRequest& open,
                     Effects& effects);
  void Send(const InstanceName& to,
            wire::RequestId request,
            OpenRequest& open,
            Effects& effects);
  /// Removes a request and sends `answer` to its caller or origin.
  void Close(wire::RequestId request,
             const wire::ForwardAnswer& answer,
             Effects& effects);
  void KeepRefusal(const Now& now,
                   const Waiter& waiter,
                   const wire::ForwardAnswer& answer);
  /// Records which entry a request is sent to.
  void RecordRecipient(OpenRequest& open, const InstanceName& to);
  /// Repeats the refusal that the waiter got for this job id; false when there
  /// is none.
  bool ResendKeptRefusal(const Waiter& waiter,
                         const JobId& id,
                         Effects& effects);
  /// Closes a request that got no answer. A job that was sent to an entry fails
  /// with kMayHaveRun for every task; any other request is refused.
  void CloseUnanswered(wire::RequestId request,
                       const OpenRequest& open,
                       Effects& effects);
  /// Home region of a team; the own region when the bundle names none.
  RegionName HomeRegionOf(const TeamName& team) const;

  EntryContext& context_;
  JobIntake& intake_;
  std::map<wire::RequestId, OpenRequest> open_requests_;
  std::set<ScheduledRequest> schedule_;
  /// Refusals sent to other entries, and their waiters from oldest to newest.
  std::map<Waiter, KeptRefusal> kept_refusals_;
  std::deque<Waiter> kept_refusals_by_age_;
  /// Number of the next request from another region. These numbers start at
  /// 2^63 so that they never equal the number of a caller's request.
  wire::RequestId next_forwarded_request_ = wire::RequestId{1} << 63;
  bool reroute_requested_ = false;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_REQUEST_ROUTER_H_

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

/// Carries each caller's request to the owner of its job's shard, again when
/// the owner changes, and its one answer back. Sending again is safe: the
/// owner attaches a known key to its job.
class RequestRouter {
 public:
  /// A router over `context` and `intake`, which must outlive it.
  RequestRouter(EntryContext& context, JobIntake& intake);

  /// A caller's job.
  void Submit(const Now& now, SubmitEvent event, Effects& effects);
  /// A caller's question.
  void Query(const Now& now, const QueryEvent& event, Effects& effects);
  /// The caller went; its answer goes nowhere.
  void OnCallerGone(wire::RequestId request);

  /// Another entry passes on a caller's job or question.
  void OnForwardJob(const Now& now,
                    const wire::Sender& from,
                    wire::ForwardJob job,
                    Effects& effects);
  void OnForwardQuery(const Now& now,
                      const wire::Sender& from,
                      const wire::ForwardQuery& query,
                      Effects& effects);
  /// An owner answered.
  void OnForwardAnswer(const Now& now,
                       const wire::Sender& from,
                       const wire::ForwardAnswer& answer,
                       Effects& effects);
  /// Gives an answer of a job owned here to the one who waits.
  void Deliver(const Now& now,
               const Waiter& waiter,
               wire::ForwardAnswer answer,
               Effects& effects);

  /// Sends again what needs it and ends what is overdue.
  void Tick(const Now& now, Effects& effects);
  /// Makes every open request look for its owner at once.
  void RequestReroute() { reroute_requested_ = true; }
  /// When Tick() is due.
  Instant NextWakeup() const;
  /// Ends every open request with what is known, for a stop past its deadline.
  void CloseAllUnanswered(Effects& effects);
  /// Open requests of callers of this entry and of other regions' entries.
  size_t open() const { return open_requests_.size(); }

 private:
  /// One request that waits for its answer.
  struct OpenRequest {
    /// Set for requests that another region's entry passed on.
    std::optional<Waiter> origin;
    bool is_job = false;
    wire::JobSpec spec;
    JobId id;
    wire::JobQuery query = wire::JobQuery::kFetch;
    RegionName region;
    Instant give_up_at;
    /// When it is looked at next; at give_up_at at the latest.
    Instant due;
    /// Owner it was last sent to, under this epoch.
    InstanceName sent_to;
    wire::Epoch sent_epoch;
    /// How often it was sent.
    uint32_t sends = 0;
    /// It was sent to more than one owner: a copy may still be on its way.
    bool sent_to_several_owners = false;
  };

  /// A refusal that later copies of the same request get as well.
  struct KeptRefusal {
    wire::ForwardAnswer answer;
    Instant until;
  };

  /// An open request by the time it is looked at.
  struct ScheduledRequest {
    Instant at;
    wire::RequestId request = 0;

    friend auto operator<=>(const ScheduledRequest&,
                            const ScheduledRequest&) = default;
  };

  void Schedule(wire::RequestId request, OpenRequest& open, Instant at);
  void Add(const Now& now,
           wire::RequestId request,
           OpenRequest open,
           Effects& effects);
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
  void Close(wire::RequestId request,
             const wire::ForwardAnswer& answer,
             Effects& effects);
  void KeepRefusal(const Now& now,
                   const Waiter& waiter,
                   const wire::ForwardAnswer& answer);
  void RecordRecipient(OpenRequest& open, const InstanceName& to);
  bool ResendKeptRefusal(const Waiter& waiter,
                         const JobId& id,
                         Effects& effects);
  void CloseUnanswered(wire::RequestId request,
                       const OpenRequest& open,
                       Effects& effects);
  RegionName HomeRegionOf(const TeamName& team) const;

  EntryContext& context_;
  JobIntake& intake_;
  std::map<wire::RequestId, OpenRequest> open_requests_;
  std::set<ScheduledRequest> schedule_;
  /// Refusals given to other entries, and their order of age.
  std::map<Waiter, KeptRefusal> kept_refusals_;
  std::deque<Waiter> kept_refusals_by_age_;
  /// Numbers of requests that other entries passed on; apart from callers'.
  wire::RequestId next_forwarded_request_ = wire::RequestId{1} << 63;
  bool reroute_requested_ = false;
};

}  // namespace filbertwick::core

#endif  // FILBERTWICK_CORE_ENTRY_REQUEST_ROUTER_H_

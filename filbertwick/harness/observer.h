#ifndef FILBERTWICK_HARNESS_OBSERVER_H_
#define FILBERTWICK_HARNESS_OBSERVER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/core/effect.h"
#include "filbertwick/core/event.h"
#include "filbertwick/harness/deployment.h"

namespace filbertwick::harness {

/// One violation of a guarantee that the deployment gives its callers or
/// operators.
struct Violation {
  /// Virtual time at which the observer noticed it.
  Duration when{0};
  /// Short name of the violated guarantee, such as `double_start`.
  std::string guarantee;
  /// What was observed, for the report.
  std::string text;
};

/// Time limits of the guarantees that must hold within a bounded time.
struct ObserverSettings {
  /// Longest time from the acceptance of a zone's removal until no task starts
  /// in the zone.
  Duration zone_out_bound = std::chrono::seconds(5);
  /// Longest time from an upstream's announcement that it leaves until no task
  /// starts on it.
  Duration leaving_bound = std::chrono::seconds(5);
};

/// Checks the guarantees of a deployment from the outside. It sees only the
/// requests and answers of callers, the starts and ends of tasks at executors,
/// the answers to operators, and the bundle versions that instances report; it
/// never reads the state of a core. Every violation is recorded, and the
/// observer goes on.
///
/// The guarantees by name:
/// - `one_answer`, `own_answer`: a request is answered once, for its own job.
/// - `whole_answer`: an answer has all tasks of its job, and is complete if and
///   only if all of them succeeded; a refusal has none.
/// - `own_result`: a result was computed from the payload of its task.
/// - `true_outcome`: a task reported as ran has started.
/// - `not_run`: a task reported as not run has not started and never starts.
/// - `own_request`: every start was requested by a caller.
/// - `double_start`: a task starts once. The task of a repeatable job of one
///   task may start again after its earlier starts have ended.
/// - `zone_out`, `leaving`: after a time limit, no task starts in a zone that
///   was taken out, or at an upstream that leaves.
/// - `bundle_reverts`: the bundle version in force never decreases within one
///   incarnation of an instance.
class Observer {
 public:
  Observer(const Deployment& deployment, const ObserverSettings& settings)
      : deployment_(deployment), settings_(settings) {}

  /// Records that a caller submitted a job.
  void OnRequest(wire::RequestId request,
                 const wire::JobSpec& spec,
                 Duration now);
  /// Records that a caller queried or cancelled a job.
  void OnQuery(wire::RequestId request,
               const wire::JobSpec& spec,
               wire::JobQuery query,
               Duration now);
  /// Checks an answer that a caller received.
  void OnAnswer(wire::RequestId request,
                const wire::JobAnswer& answer,
                Duration now);
  /// Records a violation of `one_answer`: an entry answered a request that it
  /// does not hold, or answered it a second time.
  void OnStrayAnswer(const InstanceName& entry,
                     wire::RequestId request,
                     Duration now);

  /// Checks and records the start of a task at an executor.
  void OnStart(const InstanceName& sidecar,
               const core::StartExecutionEffect& start,
               Duration now);
  /// Records that a started task has certainly ended.
  void OnEnd(const InstanceName& sidecar,
             const core::ExecutionEndedEvent& event);
  /// Records that a sidecar or its executor died. All starts at this sidecar
  /// count as ended from then on, also those that an executor which outlives
  /// its sidecar still runs.
  void OnWorkerLost(const InstanceName& sidecar);

  /// Records that an operator asked for a zone to be taken out or brought back.
  void OnZoneRequest(const ZoneName& zone, bool out, Duration now);
  /// Records the answer to an operator's zone change. An accepted removal
  /// starts the time limit ObserverSettings::zone_out_bound.
  void OnZoneAnswer(const ZoneName& zone,
                    bool out,
                    bool accepted,
                    Duration now);
  /// Records that an entry reported the zone as certainly out: from `now` on no
  /// task may start there.
  void OnCertainlyOut(const ZoneName& zone, Duration now);
  /// Records that an executor announced that it leaves, or withdrew that.
  void OnLeaving(const InstanceName& sidecar, bool leaving, Duration now);
  /// Checks the bundle version in force that an instance reports. It must never
  /// decrease within one incarnation of the instance.
  void OnBundle(const wire::InstanceInfo& instance,
                uint64_t version,
                Duration now);
  /// Records a violation that the observer's owner detected itself.
  void Report(const std::string& guarantee,
              const std::string& text,
              Duration now);

  /// All violations so far, in order of detection.
  const std::vector<Violation>& violations() const { return violations_; }
  /// Number of task starts so far.
  uint64_t starts() const { return starts_; }
  /// Number of task starts so far in a zone.
  uint64_t StartsIn(const ZoneName& zone) const;
  /// Time of the last task start in a zone; negative if there was none.
  Duration LastStartIn(const ZoneName& zone) const;
  /// How often task `index` of the job was started.
  uint32_t StartsOf(const JobId& job, uint32_t index) const;
  /// Number of starts of tasks that had been reported as `not_run`, while an
  /// earlier request for the same work was still unanswered. Such a start is
  /// not a violation, since that request may have caused it.
  uint64_t late_starts() const { return late_starts_; }

 private:
  struct Start {
    Duration when{0};
    InstanceName sidecar;
    uint32_t attempt = 0;
    std::string payload;
    bool ended = false;
  };
  struct Request {
    wire::RequestId id = 0;
    wire::JobSpec spec;
    Duration sent{0};
    std::optional<wire::JobQuery> query;
    /// Time of the answer; negative while there is none.
    Duration answered{-1};
    /// Indices of the tasks that the answer reported as never run and never to
    /// be run.
    std::set<uint32_t> not_run;
    /// The refusal covers this request only: the refusing instance could not
    /// know of other submissions of the same job (JobAnswer::not_run is false).
    bool covers_this_request_only = false;
  };
  struct Job {
    std::vector<Request> requests;
    std::map<uint32_t, std::vector<Start>> starts;
  };
  struct Zone {
    /// Virtual time from which a task start in the zone violates `zone_out`;
    /// empty while the zone is in or its removal is not yet accepted.
    std::optional<Duration> closed_from;
    /// Unanswered requests to bring the zone back.
    uint32_t pending_returns = 0;
    /// A request to bring the zone back was sent after the last request to take
    /// it out, or was still unanswered then, so starts are allowed again.
    bool return_requested = false;
    bool out_accepted = false;
    uint64_t starts = 0;
    Duration last_start{-1};
  };

  void CheckAnswer(Job& job, Request& request, const wire::JobAnswer& answer);
  void CheckTasks(const Job& job,
                  Request& request,
                  const wire::JobAnswer& answer);
  static bool IsExpectedResult(const Job& job,
                               const Request& request,
                               uint32_t index,
                               const std::string& body);
  static bool HasOtherRequests(const Job& job, const Request& request);
  void CheckNotRun(const Job& job, const Request& request, uint32_t index);
  void CheckDoubleStart(const Job& job,
                        const core::StartExecutionEffect& start,
                        const std::vector<Start>& before);
  void CheckStartAfterRefusal(const Job& job,
                              const core::StartExecutionEffect& start);
  void CheckPlacement(const InstanceName& sidecar,
                      const core::StartExecutionEffect& start);
  void Fail(const std::string& guarantee, std::string text);

  const Deployment& deployment_;
  ObserverSettings settings_;
  Duration now_{0};
  std::map<JobId, Job> jobs_;
  std::map<wire::RequestId, JobId> requests_;
  std::map<ZoneName, Zone> zones_;
  std::map<InstanceName, Duration> leaving_since_;
  std::map<std::pair<InstanceName, wire::Incarnation>, uint64_t>
      newest_bundles_;
  std::vector<Violation> violations_;
  uint64_t starts_ = 0;
  uint64_t late_starts_ = 0;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_OBSERVER_H_

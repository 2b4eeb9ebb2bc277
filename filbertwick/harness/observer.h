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

/// A promise that was broken.
struct Violation {
  Duration when{0};
  /// Short name of the promise, such as `double_start`.
  std::string promise;
  std::string text;
};

/// Bounds of the promises that name a time.
struct ObserverSettings {
  /// After a zone's change was accepted, until no task starts there.
  Duration zone_out_bound = std::chrono::seconds(5);
  /// After an upstream said that it leaves, until no task starts there.
  Duration leaving_bound = std::chrono::seconds(5);
};

/// Checks the promises from outside: it sees only requests and answers of
/// callers, starts and ends at executors, what operators are told, and the
/// versions that instances show.
class Observer {
 public:
  Observer(const Deployment& deployment, const ObserverSettings& settings)
      : deployment_(deployment), settings_(settings) {}

  /// A caller sends a job.
  void OnRequest(wire::RequestId request,
                 const wire::JobSpec& spec,
                 Duration now);
  /// A caller asks about a job, or cancels it.
  void OnQuery(wire::RequestId request,
               const wire::JobSpec& spec,
               wire::JobQuery query,
               Duration now);
  /// A caller got an answer.
  void OnAnswer(wire::RequestId request,
                const wire::JobAnswer& answer,
                Duration now);
  /// An answer went to nobody, or a second one to the same request.
  void OnStrayAnswer(const InstanceName& entry,
                     wire::RequestId request,
                     Duration now);

  /// An executor starts a task.
  void OnStart(const InstanceName& sidecar,
               const core::StartExecutionEffect& start,
               Duration now);
  /// A started task ended for certain.
  void OnEnd(const InstanceName& sidecar,
             const core::ExecutionEndedEvent& event);
  /// A sidecar or its executor is lost with all it ran.
  void OnWorkerLost(const InstanceName& sidecar);

  /// An operator asks for a zone to be taken out or brought back.
  void OnZoneRequest(const ZoneName& zone, bool out, Duration now);
  /// The operator is told that the change was accepted or refused.
  void OnZoneAnswer(const ZoneName& zone,
                    bool out,
                    bool accepted,
                    Duration now);
  /// An entry says that no task can start in the zone any more.
  void OnCertainlyOut(const ZoneName& zone, Duration now);
  /// An executor says that it leaves, or stays after all.
  void OnLeaving(const InstanceName& sidecar, bool leaving, Duration now);
  /// An instance shows the bundle version in force there.
  void OnBundle(const wire::InstanceInfo& instance,
                uint64_t version,
                Duration now);
  /// Something that must hold does not, seen by its user.
  void Report(const std::string& promise,
              const std::string& text,
              Duration now);

  /// The promises broken so far.
  const std::vector<Violation>& violations() const { return violations_; }
  /// Starts seen so far.
  uint64_t starts() const { return starts_; }
  /// Starts seen so far in a zone.
  uint64_t StartsIn(const ZoneName& zone) const;
  /// Time of the newest start in a zone; negative without any.
  Duration LastStartIn(const ZoneName& zone) const;
  /// Times a task of a job was started.
  uint32_t StartsOf(const JobId& job, uint32_t index) const;
  /// Starts that followed a "not run" while an older request of the caller was
  /// still on its way.
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
    /// When the answer came; negative without one.
    Duration answered{-1};
    /// Tasks that the answer said did not and will not run.
    std::set<uint32_t> not_run;
    /// The answer spoke of this request alone, not of others of the job.
    bool covers_this_request_only = false;
  };
  struct Job {
    std::vector<Request> requests;
    std::map<uint32_t, std::vector<Start>> starts;
  };
  struct Zone {
    /// Since when no start is allowed; none while it is in.
    std::optional<Duration> closed_from;
    /// Requests to bring it back that have no answer yet.
    uint32_t pending_returns = 0;
    /// A request to bring it back was sent after the last to take it out.
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
  void Fail(const std::string& promise, std::string text);

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

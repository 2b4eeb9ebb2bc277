#ifndef FILBERTWICK_HARNESS_WORLD_H_
#define FILBERTWICK_HARNESS_WORLD_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "filbertwick/core/core.h"
#include "filbertwick/core/settings.h"
#include "filbertwick/harness/control_log.h"
#include "filbertwick/harness/core_factory.h"
#include "filbertwick/harness/deployment.h"
#include "filbertwick/harness/event_loop.h"
#include "filbertwick/harness/executor.h"
#include "filbertwick/harness/network.h"
#include "filbertwick/harness/random.h"

namespace filbertwick::harness {

/// Inputs of a simulation. The seed and the other values decide every event.
struct WorldSettings {
  Deployment deployment;
  uint64_t seed = 1;
  core::TimingSettings timing;
  core::RuleSettings rules;
  ControlLogSettings log;
  /// Largest extra delay of a message, as a fraction of the link's latency.
  double jitter = 0.2;
  /// Largest deviation of a monotonic clock's rate from virtual time, in parts
  /// per million.
  uint32_t clock_rate_ppm = 200;
  /// Largest deviation of a wall clock from virtual time.
  Duration wall_clock_skew = std::chrono::milliseconds(200);
  /// Adds every byte of every effect to the hash, besides its kind, its time
  /// and the incarnation that produced it.
  bool hash_bytes = false;
  /// Encodes each message to count its bytes in MessageCounts.
  bool count_bytes = false;
  /// Makes the core of each process, for example MakeDaemonCoreFactory().
  /// Required.
  CoreFactory make_core;
  /// Returns the run time of a task; drawn from 50 ms to 1 s when empty.
  std::function<Duration(const core::StartExecutionEffect&)> run_time;
  /// Receives one line of text per event and effect; no trace when empty.
  std::function<void(const std::string&)> trace;
};

/// Message counts of one instance, indexed by the alternative in wire::Message.
struct MessageCounts {
  static constexpr size_t kKinds = std::variant_size_v<wire::Message>;
  std::array<uint64_t, kKinds> sent{};
  std::array<uint64_t, kKinds> received{};
  /// Encoded sizes in bytes; zero unless WorldSettings::count_bytes is set.
  std::array<uint64_t, kKinds> sent_bytes{};
  std::array<uint64_t, kKinds> received_bytes{};
};

/// Callbacks through which a world reports what its instances do.
struct WorldHooks {
  /// An executor accepted a task and starts it.
  std::function<void(const InstanceName& sidecar,
                     const core::StartExecutionEffect&)>
      started;
  /// A started task ended at its executor: it no longer runs there.
  std::function<void(const InstanceName& sidecar,
                     const core::ExecutionEndedEvent&)>
      ended;
  /// An instance emitted an audit record.
  std::function<void(const InstanceName&, const core::AuditEffect&)> audit;
  /// An instance answered a request that this process did not receive, or
  /// answered a request for the second time.
  std::function<void(const InstanceName&, wire::RequestId)> stray_answer;
  /// An instance finished its graceful stop; `clean` is the flag of its
  /// StoppedEffect.
  std::function<void(const InstanceName&, bool clean)> stopped;
};

/// Receives the answer to a caller's request; null when the connection broke.
using AnswerHook = std::function<void(const core::AnswerEffect*)>;
/// Receives the answer to an operator's change; null when the connection broke.
using OperatorHook = std::function<void(const core::OperatorAnswerEffect*)>;

/// A deterministic simulation of a deployment. Each instance runs a core from
/// WorldSettings::make_core; all share one event loop in virtual time, and the
/// network, the control log and the executors are fakes. Two worlds with equal
/// settings that receive the same calls produce the same effects, byte for
/// byte.
///
/// A process is one run of an instance, from Start() to Kill() or to the end of
/// a graceful stop. Each process gets a new incarnation, new clocks and a new
/// core. A message in transit is delivered to the process that runs on arrival,
/// and is lost when none runs. A paused process keeps its state and queues its
/// events.
class World {
 public:
  /// Creates a world in which no instance runs yet. Returns InvalidArgument if
  /// the deployment has no instances or no core factory is set.
  static absl::StatusOr<std::unique_ptr<World>> Create(WorldSettings settings);
  ~World();

  /// Replaces all callbacks.
  void SetHooks(WorldHooks hooks);

  /// Starts an instance as a new incarnation. While a graceful stop is in
  /// progress the start follows its end; while the instance runs otherwise the
  /// call has no effect.
  void Start(const InstanceName& name);
  /// Starts each instance at a random time within `spread` from now.
  void StartAll(Duration spread);
  /// Ends a process at once. Its state is lost and its open connections break.
  void Kill(const InstanceName& name);
  /// Pauses a process; its events are queued until Resume(). With `mid_step`
  /// the core still handles the next event, and its effects are held back until
  /// Resume(), as if the process stopped between a decision and its send.
  void Pause(const InstanceName& name, bool mid_step);
  /// Resumes a paused process: applies the effects held back, then handles the
  /// queued events in their order, then due timers.
  void Resume(const InstanceName& name);
  /// Requests a graceful stop within `deadline`.
  void Stop(const InstanceName& name, Duration deadline);
  /// Makes the executor beside a sidecar announce that it is leaving, or that
  /// it stays.
  void SetLeaving(const InstanceName& sidecar, bool leaving);
  /// Changes the behaviour of an executor. Its sidecar is notified after a
  /// delay when the executor dies or returns.
  void SetExecutorMode(const InstanceName& sidecar, ExecutorMode mode);

  /// Submits a job as a caller of `entry`. `hook` runs at most once.
  wire::RequestId Submit(const InstanceName& entry,
                         const wire::JobSpec& spec,
                         AnswerHook hook);
  /// Queries or cancels a job as a caller of `entry`.
  wire::RequestId Query(const InstanceName& entry,
                        const JobId& job,
                        wire::JobQuery query,
                        AnswerHook hook);
  /// Closes the connection of the caller of `request`, whose hook is not called
  /// any more unless its answer was already on its way.
  void AbandonRequest(wire::RequestId request);
  /// Submits an operator's change to `entry`.
  wire::RequestId SubmitChange(const InstanceName& entry,
                               const wire::ControlRecord& record,
                               OperatorHook hook);

  /// Advances virtual time by `span` and runs all actions due until then.
  void Run(Duration span);

  /// The event loop, for example to schedule further actions.
  EventLoop& loop();
  /// The network between the instances, for fault injection.
  Network& network();
  /// The control log, for fault injection.
  ControlLog& log();
  /// The executor beside a sidecar.
  Executor& executor(const InstanceName& sidecar);
  /// Current time in Unix milliseconds by the clock of callers and operators,
  /// which has no error.
  int64_t WallMillis() const;
  /// The settings passed to Create().
  const WorldSettings& settings() const;

  /// Returns the core of an instance, or null while it does not run.
  const core::Core* FindCore(const InstanceName& name) const;
  /// Returns true while the process is paused.
  bool IsPaused(const InstanceName& name) const;
  /// Returns the status of an instance; a default status while it does not run.
  core::CoreStatus Status(const InstanceName& name) const;
  /// Returns true while a load balancer would send callers to an entry: it
  /// runs, is not paused and reports itself ready.
  bool IsReady(const InstanceName& entry) const;
  /// Message counts of an instance, over all its incarnations.
  const MessageCounts& Counts(const InstanceName& name) const;
  /// Hash of all effects so far; see WorldSettings::hash_bytes.
  uint64_t hash() const;
  /// Number of events handled so far.
  uint64_t events() const;

 private:
  class Impl;
  explicit World(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_WORLD_H_

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

/// What a world is made of.
struct WorldSettings {
  Deployment deployment;
  uint64_t seed = 1;
  core::TimingSettings timing;
  core::RuleSettings rules;
  ControlLogSettings log;
  /// Messages take up to this share longer than the link's latency.
  double jitter = 0.2;
  /// Clocks differ in rate by up to this, in parts per million.
  uint32_t clock_rate_ppm = 200;
  /// Wall clocks differ by up to this.
  Duration wall_clock_skew = std::chrono::milliseconds(200);
  /// Hash every byte of every effect instead of its kind, time and place.
  bool hash_bytes = false;
  /// Count the encoded bytes of messages.
  bool count_bytes = false;
  /// Makes cores, such as RealCores().
  CoreFactory make_core;
  /// Run time of a task; 50 ms to 1 s when empty.
  std::function<Duration(const core::StartExecutionEffect&)> run_time;
  /// Takes one line for each event and effect; empty for none.
  std::function<void(const std::string&)> trace;
};

/// Messages of one instance, by index in wire::Message.
struct MessageCounts {
  static constexpr size_t kKinds = std::variant_size_v<wire::Message>;
  std::array<uint64_t, kKinds> sent{};
  std::array<uint64_t, kKinds> received{};
  /// Zero unless bytes are counted.
  std::array<uint64_t, kKinds> sent_bytes{};
  std::array<uint64_t, kKinds> received_bytes{};
};

/// What a world tells those who watch it.
struct WorldHooks {
  /// An executor starts a task.
  std::function<void(const InstanceName& sidecar,
                     const core::StartExecutionEffect&)>
      started;
  /// A task at an executor ended for certain.
  std::function<void(const InstanceName& sidecar,
                     const core::ExecutionEndedEvent&)>
      ended;
  /// An instance printed an audit line.
  std::function<void(const InstanceName&, const core::AuditEffect&)> audit;
  /// An instance answered a request that is not its own, or one twice.
  std::function<void(const InstanceName&, wire::RequestId)> stray_answer;
  /// An instance finished its graceful stop.
  std::function<void(const InstanceName&, bool clean)> stopped;
};

/// Takes the answer to a caller's request; null when the connection broke.
using AnswerHook = std::function<void(const core::AnswerEffect*)>;
/// Takes the answer to an operator; null when the connection broke.
using OperatorHook = std::function<void(const core::OperatorAnswerEffect*)>;

/// All instances of a deployment as real cores in one event loop in virtual
/// time, with fakes for network, log and executors. Two worlds with the same
/// settings that are driven alike do the same, byte for byte.
class World {
 public:
  /// A world in which nothing runs yet; InvalidArgument without instances
  /// or without a core factory.
  static absl::StatusOr<std::unique_ptr<World>> Create(WorldSettings settings);
  ~World();

  /// Sets who watches.
  void SetHooks(WorldHooks hooks);

  /// Starts an instance as a new incarnation: at once when none runs, at the
  /// end of a planned stop, else not at all.
  void Start(const InstanceName& name);
  /// Starts all instances within `spread`.
  void StartAll(Duration spread);
  /// Ends a process with all its memory.
  void Kill(const InstanceName& name);
  /// Freezes a process; with `mid_step` the effects of the next event it would
  /// take are held back, as if it was stopped between a decision and its send.
  void Pause(const InstanceName& name, bool mid_step);
  /// Lets a frozen process go on.
  void Resume(const InstanceName& name);
  /// Asks for a graceful stop within `deadline`.
  void Stop(const InstanceName& name, Duration deadline);
  /// The executor beside a sidecar announces that it leaves, or stays.
  void SetLeaving(const InstanceName& sidecar, bool leaving);
  /// Changes an executor; its sidecar hears of death and return.
  void SetExecutorMode(const InstanceName& sidecar, ExecutorMode mode);

  /// A caller's request to an entry.
  wire::RequestId Submit(const InstanceName& entry,
                         const wire::JobSpec& spec,
                         AnswerHook hook);
  /// A caller's question to an entry.
  wire::RequestId Query(const InstanceName& entry,
                        const JobId& job,
                        wire::JobQuery query,
                        AnswerHook hook);
  /// The caller of a request gives up.
  void AbandonRequest(wire::RequestId request);
  /// An operator's change at an entry.
  wire::RequestId SubmitChange(const InstanceName& entry,
                               const wire::ControlRecord& record,
                               OperatorHook hook);

  /// Runs the world on by `span`.
  void Run(Duration span);

  /// The loop, to add actions of one's own.
  EventLoop& loop();
  /// The links between instances.
  Network& network();
  /// The platform's log.
  ControlLog& log();
  /// The executor beside a sidecar.
  Executor& executor(const InstanceName& sidecar);
  /// Unix milliseconds by a caller's clock.
  int64_t WallMillis() const;
  /// The settings it was made with.
  const WorldSettings& settings() const;

  /// The core of an instance; null while it does not run.
  const core::Core* FindCore(const InstanceName& name) const;
  /// True while it is frozen.
  bool IsPaused(const InstanceName& name) const;
  /// What an instance shows; of an empty core while it does not run.
  core::CoreStatus Status(const InstanceName& name) const;
  /// True while a balancer would send callers to an entry.
  bool IsReady(const InstanceName& entry) const;
  /// Messages of an instance, over all its incarnations.
  const MessageCounts& Counts(const InstanceName& name) const;
  /// Digest of all effects so far.
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

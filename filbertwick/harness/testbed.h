#ifndef FILBERTWICK_HARNESS_TESTBED_H_
#define FILBERTWICK_HARNESS_TESTBED_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>

#include "filbertwick/harness/caller_pool.h"
#include "filbertwick/harness/observer.h"
#include "filbertwick/harness/operator_pool.h"
#include "filbertwick/harness/world.h"

namespace filbertwick::harness {

/// Settings of the parts of a testbed.
struct TestbedSettings {
  WorldSettings world;
  CallerSettings callers;
  ObserverSettings observer;
};

/// A world together with its callers, its operators and an observer that checks
/// their results. The testbed reports to the observer what is visible from
/// outside the instances: requests and answers, starts and ends of tasks at
/// executors, changes by operators, and the bundle version of each instance.
class Testbed {
 public:
  /// Creates a testbed in which no instance runs yet. Returns the errors of
  /// World::Create().
  static absl::StatusOr<std::unique_ptr<Testbed>> Create(
      TestbedSettings settings);
  ~Testbed();

  /// Starts all instances and publishes the first bundle. Returns true once all
  /// entries are ready, false if they are not within `limit` of virtual time.
  bool Boot(Duration limit);
  /// Ends all faults: resumes paused instances, heals the network, ends faults
  /// of the log and the executors, withdraws announcements that an executor is
  /// leaving, starts the instances that do not run, and requests that all zones
  /// be brought back in.
  void Heal();
  /// Submits jobs through every entry and runs the world until all callers have
  /// an answer, for at most `limit`. Reports the violations `recovery` for each
  /// of these jobs that is not complete, `liveness` for each caller without an
  /// answer, and `in_force` for each instance whose bundle is older than the
  /// newest accepted one.
  void CheckRecovery(Duration limit);

  /// Kills the process of an instance. For a sidecar this calls
  /// Observer::OnWorkerLost(); its executor runs on.
  void Kill(const InstanceName& name);
  /// Kills a sidecar and its executor together.
  void KillWorker(const InstanceName& sidecar);
  /// Makes the executor beside a sidecar announce that it is leaving, or that
  /// it stays.
  void SetLeaving(const InstanceName& sidecar, bool leaving);
  /// Cuts the links between an instance and all others: those from it, those to
  /// it, or both. `hold` as in Network::Cut().
  void Isolate(const InstanceName& name, bool from, bool to, bool hold);

  World& world() { return *world_; }
  Observer& observer() { return *observer_; }
  CallerPool& callers() { return *callers_; }
  OperatorPool& operators() { return *operators_; }

 private:
  Testbed() = default;
  /// Reports the bundle version of each running instance to the observer, and
  /// schedules the next sample.
  void SampleBundles();
  /// Reports `in_force` for each instance behind the newest accepted bundle.
  void CheckBundlesInForce();

  std::unique_ptr<World> world_;
  std::unique_ptr<Observer> observer_;
  std::unique_ptr<CallerPool> callers_;
  std::unique_ptr<OperatorPool> operators_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_TESTBED_H_

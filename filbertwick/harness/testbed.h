#ifndef FILBERTWICK_HARNESS_TESTBED_H_
#define FILBERTWICK_HARNESS_TESTBED_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <memory>
#include <string>

#include "filbertwick/harness/caller_pool.h"
#include "filbertwick/harness/observer.h"
#include "filbertwick/harness/operator_desk.h"
#include "filbertwick/harness/world.h"

namespace filbertwick::harness {

/// What a testbed is made of.
struct TestbedSettings {
  WorldSettings world;
  CallerSettings callers;
  ObserverSettings observer;
};

/// A world with its observer, callers and operators, joined so that the
/// observer hears of all it may see.
class Testbed {
 public:
  /// Errors as World::Create().
  static absl::StatusOr<std::unique_ptr<Testbed>> Create(
      TestbedSettings settings);
  ~Testbed();

  /// Starts all instances and publishes the first bundle; true when all
  /// entries are ready within `limit`.
  bool Boot(Duration limit);
  /// Starts the instances that do not run, ends pauses, cuts, log and executor
  /// faults, takes back leaving and brings all zones in.
  void Heal();
  /// Submits jobs through every entry and reports `recovery` unless all are
  /// complete within `limit`; reports `liveness` for callers without an answer
  /// and `in_force` for instances behind the accepted bundle.
  void CheckRecovery(Duration limit);

  /// Ends the process of an instance; of a sidecar's the observer hears.
  void Kill(const InstanceName& name);
  /// Ends sidecar and executor together.
  void KillWorker(const InstanceName& sidecar);
  /// The executor beside a sidecar leaves or stays.
  void SetLeaving(const InstanceName& sidecar, bool leaving);
  /// Cuts an instance off from all others, or one way only.
  void Isolate(const InstanceName& name, bool from, bool to, bool hold);

  World& world() { return *world_; }
  Observer& observer() { return *observer_; }
  CallerPool& callers() { return *callers_; }
  OperatorDesk& operators() { return *operators_; }

 private:
  Testbed() = default;
  void SampleBundles();
  void CheckBundlesInForce();

  std::unique_ptr<World> world_;
  std::unique_ptr<Observer> observer_;
  std::unique_ptr<CallerPool> callers_;
  std::unique_ptr<OperatorDesk> operators_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_TESTBED_H_

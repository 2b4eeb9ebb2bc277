#ifndef FILBERTWICK_HARNESS_OPERATOR_POOL_H_
#define FILBERTWICK_HARNESS_OPERATOR_POOL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "filbertwick/harness/observer.h"
#include "filbertwick/harness/random.h"
#include "filbertwick/harness/world.h"

namespace filbertwick::harness {

/// The state of a change as its operator sees it.
struct ChangeResult {
  wire::ControlBody body;
  /// Virtual time of the first request.
  Duration requested{0};
  /// Virtual time of the answer; negative until it arrives.
  Duration answered{-1};
  bool accepted = false;
  std::string text;
  /// For a zone that is taken out: the virtual time at which an entry reported
  /// that no task can start there any more; negative until then.
  Duration confirmed_out{-1};
};

/// Simulated operators who publish bundles, take zones out and bring them back,
/// and remove instances. They retry a change without an answer through other
/// entries under the same change id. After a zone has been taken out they poll
/// an entry until it reports that no task can start in the zone.
class OperatorPool {
 public:
  OperatorPool(World& world, Observer& observer, uint64_t seed);
  ~OperatorPool();

  /// Publishes a bundle and returns the index of the change. The first request
  /// goes to `entry`, or to a random entry that is ready when it is empty.
  size_t Publish(uint64_t version,
                 uint64_t based_on,
                 const std::string& text,
                 const InstanceName& entry = {});
  /// Takes a zone out or brings it back in; otherwise as Publish().
  size_t SetZone(const ZoneName& zone,
                 bool out,
                 const InstanceName& entry = {});
  /// Requests the removal of one incarnation of an instance and returns the
  /// index of the change. The first request goes to a random entry that is
  /// ready.
  size_t RemoveInstance(const wire::InstanceInfo& info);

  /// Returns the current state of a change.
  const ChangeResult& result(size_t change) const;
  /// Number of changes requested so far.
  size_t size() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_OPERATOR_POOL_H_

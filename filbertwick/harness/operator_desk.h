#ifndef FILBERTWICK_HARNESS_OPERATOR_DESK_H_
#define FILBERTWICK_HARNESS_OPERATOR_DESK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "filbertwick/harness/observer.h"
#include "filbertwick/harness/random.h"
#include "filbertwick/harness/world.h"

namespace filbertwick::harness {

/// What became of an operator's change.
struct ChangeResult {
  wire::ControlBody body;
  Duration asked{0};
  /// When the answer came; negative without one.
  Duration answered{-1};
  bool accepted = false;
  std::string text;
  /// For a zone taken out: when an entry said that nothing can start there;
  /// negative before.
  Duration certain{-1};
};

/// Operators who publish bundles and take zones out and in, retry under the
/// same change id through other entries, and wait until a zone is certainly
/// out.
class OperatorDesk {
 public:
  OperatorDesk(World& world, Observer& observer, uint64_t seed);
  ~OperatorDesk();

  /// Publishes a bundle of the deployment; the number of the change. Any entry
  /// that is ready is asked first when `entry` is empty.
  size_t Publish(uint64_t version,
                 uint64_t based_on,
                 const std::string& text,
                 const InstanceName& entry = {});
  /// Takes a zone out or brings it back.
  size_t SetZone(const ZoneName& zone,
                 bool out,
                 const InstanceName& entry = {});
  /// Has an instance taken off the record.
  size_t RemoveInstance(const wire::InstanceInfo& info);

  /// What became of a change so far.
  const ChangeResult& result(size_t change) const;
  /// Changes so far.
  size_t size() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_OPERATOR_DESK_H_

#ifndef FILBERTWICK_SOAK_FLEET_H_
#define FILBERTWICK_SOAK_FLEET_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "soak/callers.h"
#include "soak/instance.h"
#include "soak/observer.h"
#include "soak/relay.h"
#include "soak/upstream.h"

namespace filbertwick::soak {

/// Size and place of a fleet.
struct FleetSettings {
  std::string program;
  /// Folder for settings files and logs; must be there.
  std::string folder;
  size_t entries = 3;
  size_t sidecars = 6;
  double jobs_per_second = 30;
  uint64_t seed = 0;
};

/// Relays in front of a process.
enum class RelayPlace : uint8_t {
  /// Between callers and an entry.
  kCallers,
  /// Between a sidecar and its upstream.
  kUpstream,
  /// Between an instance and the store.
  kStore,
};

/// A store, instances on addresses of their own, upstreams, callers, and the
/// relays between them. Instances are counted from 0, entries first. Belongs
/// to the context's thread.
class Fleet {
 public:
  static constexpr size_t kZones = 3;

  /// Writes settings, listens, and starts every process.
  static absl::StatusOr<std::unique_ptr<Fleet>> Start(
      boost::asio::io_context& context,
      const FleetSettings& settings,
      Observer& observer);
  ~Fleet();

  size_t instances() const;
  bool IsEntry(size_t instance) const;
  Instance& instance(size_t n);
  /// The upstream beside a sidecar.
  Upstream& upstream(size_t instance);
  /// Null where there is none.
  Relay* relay(size_t instance, RelayPlace place);
  Callers& callers();

  void SetStoreDown(bool down);
  /// Forgets all records but the newest of each key.
  void CompactStore();
  /// Puts a configuration with one more route in force; gives the prefix of
  /// that route.
  std::string PublishConfiguration();
  void SetZoneEvacuated(size_t zone, bool evacuated);
  /// From here to EndDisturbance() an instance may be out of touch with
  /// operators: its starts in a zone that is out are not judged, nor until the
  /// time for an evacuation has passed anew.
  void BeginDisturbance(size_t instance);
  void EndDisturbance(size_t instance);
  /// Judges what has ended.
  void CheckExit();
  /// Ends every disturbance and starts what does not run.
  void EndAllFaults();

 private:
  class Impl;
  explicit Fleet(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::soak

#endif  // FILBERTWICK_SOAK_FLEET_H_

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

/// Size, program and working folder of a fleet.
struct FleetSettings {
  /// Path of the program that instances run.
  std::string program;
  /// Existing folder for the settings files and logs.
  std::string folder;
  size_t entries = 3;
  size_t sidecars = 6;
  double jobs_per_second = 30;
  uint64_t seed = 0;
};

/// Connection that a relay sits on.
enum class RelayPlace : uint8_t {
  /// Between callers and an entry.
  kCallers,
  /// Between a sidecar and its upstream.
  kUpstream,
  /// Between an instance and the store.
  kStore,
};

/// A test deployment on loopback: a simulated store, upstreams and callers, the
/// real program as one process per instance, each on its own address, and
/// relays on the connections between them. Instances are numbered from 0,
/// entries first. Must be used on the context's thread only.
class Fleet {
 public:
  static constexpr size_t kZones = 3;

  /// Writes the settings files, opens all listening sockets and starts every
  /// process. Fails with Unavailable if a socket or file can't be opened; a
  /// process that can't be started is reported to `observer` instead.
  static absl::StatusOr<std::unique_ptr<Fleet>> Start(
      boost::asio::io_context& context,
      const FleetSettings& settings,
      Observer& observer);
  ~Fleet();

  size_t instances() const;
  bool IsEntry(size_t instance) const;
  Instance& instance(size_t n);
  /// The upstream of a sidecar; `instance` must not be an entry.
  Upstream& upstream(size_t instance);
  /// Null if the instance has no relay in this place.
  Relay* relay(size_t instance, RelayPlace place);
  Callers& callers();

  void SetStoreDown(bool down);
  /// Makes the store drop all records except the newest of each key.
  void CompactStore();
  /// Publishes a configuration with one more route and returns that route's
  /// path prefix.
  std::string PublishConfiguration();
  /// Publishes or withdraws the operators' order to evacuate a zone, and has
  /// its upstreams check that starts cease in time.
  void SetZoneEvacuated(size_t zone, bool evacuated);
  /// Until the matching EndDisturbance() the instance may miss an operator's
  /// order, so its starts in an evacuated zone aren't checked. After that the
  /// time allowed for the evacuation begins anew. Calls nest.
  void BeginDisturbance(size_t instance);
  void EndDisturbance(size_t instance);
  /// Checks every instance for an exit; see Instance::CheckExit().
  void CheckExit();
  /// Ends every evacuation and every fault of store, relays, upstreams and
  /// processes, and starts the upstreams and processes that don't run.
  void EndAllFaults();

 private:
  class Impl;
  explicit Fleet(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace filbertwick::soak

#endif  // FILBERTWICK_SOAK_FLEET_H_

#ifndef FILBERTWICK_SOAK_UPSTREAM_H_
#define FILBERTWICK_SOAK_UPSTREAM_H_

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "filbertwick/platform/platform_settings.h"
#include "soak/observer.h"

namespace filbertwick::soak {

/// Where an upstream listens and announces itself, and how it is.
struct UpstreamSettings {
  std::string name;
  std::string zone;
  std::string service;
  platform::Address listen;
  /// Address that it names in its announcements.
  platform::Address announced_address;
  platform::Address sidecar;
  /// Tasks of one core at a time.
  size_t max_running_tasks = 4;
  /// Speed of its clock.
  double clock_rate = 1;
  uint64_t seed = 0;
};

/// Takes the place of an upstream of the platform, life after life: takes
/// orders, runs tasks as long as their spec says, and announces itself to its
/// sidecar. Belongs to the context's thread.
class Upstream {
 public:
  /// Listens and begins a first life, or fails with Unavailable.
  static absl::StatusOr<std::unique_ptr<Upstream>> Create(
      boost::asio::io_context& context,
      UpstreamSettings settings,
      Observer& observer);
  ~Upstream();

  /// Ends what is due.
  void Advance();
  /// Ends at once with all that runs; orders and announcements get nothing.
  void Crash();
  /// Begins a new life, after a Crash().
  void Restart();
  /// Tasks that start from now on never end by themselves.
  void SetHanging(bool hanging);
  /// Some orders get no answer and are carried out a second or two later.
  void SetLate(bool late);
  /// Announces that it leaves, leaves some time after that was taken note of,
  /// and begins a new life then.
  void Drain();
  /// Starts are to end within the time for an evacuation, or may go on again.
  void SetZoneEvacuated(bool evacuated);

 private:
  class Impl;
  explicit Upstream(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

}  // namespace filbertwick::soak

#endif  // FILBERTWICK_SOAK_UPSTREAM_H_

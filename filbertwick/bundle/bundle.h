#ifndef FILBERTWICK_BUNDLE_BUNDLE_H_
#define FILBERTWICK_BUNDLE_BUNDLE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"

namespace filbertwick::bundle {

/// Which jobs go first: a caller waits for an urgent one.
enum class DeadlineClass : uint8_t { kUrgent, kBulk };

/// An availability zone of a region.
struct Zone {
  ZoneName name;
  RegionName region;
};

/// A kind of task and where it may run.
struct Service {
  ServiceName name;
  /// Zones whose upstreams may run it; never empty.
  std::vector<ZoneName> zones;
  /// Sidecars whose upstreams may run it; empty allows any in `zones`.
  std::vector<InstanceName> upstreams;
  /// Tasks one upstream runs at a time.
  uint32_t slots = 8;
  /// Connections one upstream accepts.
  uint32_t connections = 64;
  /// Offers that may wait at one sidecar beyond its slots.
  uint32_t queue = 1;
  DeadlineClass deadline_class = DeadlineClass::kUrgent;
  /// A single request may be started again after a definite end.
  bool repeatable = false;
  /// Longest run time of a task; its execution is stopped after it.
  Duration task_timeout = std::chrono::seconds(30);
};

/// A group of callers that shares a quota.
struct Team {
  TeamName name;
  RegionName home_region;
  /// Share of capacity against other teams under contention.
  uint32_t weight = 1;
  /// Tasks of the team that may wait or run at a time.
  uint32_t quota = 10'000;
};

/// What operators publish: one version of everything that can be steered.
struct Bundle {
  uint64_t version = 0;
  /// The accepted version that this one was made from; 0 for the first.
  uint64_t based_on = 0;
  /// Raised by operators to say that the old instances are gone for good.
  uint32_t generation = 1;
  std::vector<Zone> zones;
  std::vector<Service> services;
  std::vector<Team> teams;
  /// Tasks of all teams that may wait or run at a time; quotas that add up to
  /// more are a warning.
  uint64_t capacity = 200'000;
  /// How long keys and answers of jobs are kept.
  Duration dedupe_window = std::chrono::minutes(10);

  /// The service `name`, or null.
  const Service* FindService(const ServiceName& name) const;
  /// The team `name`, or null.
  const Team* FindTeam(const TeamName& name) const;
  /// The zone `name`, or null.
  const Zone* FindZone(const ZoneName& name) const;
};

}  // namespace filbertwick::bundle

#endif  // FILBERTWICK_BUNDLE_BUNDLE_H_

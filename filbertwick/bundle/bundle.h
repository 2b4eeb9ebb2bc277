#ifndef FILBERTWICK_BUNDLE_BUNDLE_H_
#define FILBERTWICK_BUNDLE_BUNDLE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"

namespace filbertwick::bundle {

/// Scheduling class of a service's jobs. Urgent jobs take precedence over bulk
/// jobs, since a caller waits for their answers.
enum class DeadlineClass : uint8_t { kUrgent, kBulk };

/// An availability zone of a region.
struct Zone {
  ZoneName name;
  RegionName region;
};

/// A kind of task, the upstreams that may run it and the limits per upstream.
struct Service {
  ServiceName name;
  /// Zones whose upstreams may run the service; never empty.
  std::vector<ZoneName> zones;
  /// If not empty, only the upstreams of these sidecars, within `zones`, may
  /// run the service; if empty, any upstream in `zones` may.
  std::vector<InstanceName> upstreams;
  /// Maximum number of tasks that one upstream runs concurrently.
  uint32_t slots = 8;
  /// Number of connections that one upstream accepts; at least `slots`.
  uint32_t connections = 64;
  /// Maximum number of offered tasks that one sidecar queues while all its
  /// slots are occupied.
  uint32_t queue = 1;
  DeadlineClass deadline_class = DeadlineClass::kUrgent;
  /// Whether the task of a single-task job may be started again after it has
  /// definitely ended in failure or its worker was lost.
  bool repeatable = false;
  /// Maximum run time of a task; its execution is stopped when it runs longer.
  Duration task_timeout = std::chrono::seconds(30);
};

/// A group of callers that share a quota.
struct Team {
  TeamName name;
  RegionName home_region;
  /// Relative share of capacity when teams compete for it: a team of weight 2
  /// receives twice as much as a team of weight 1.
  uint32_t weight = 1;
  /// Maximum number of the team's tasks that wait or run at a time.
  uint32_t quota = 10'000;
};

/// One version of the configuration that operators publish: zones, services,
/// teams and limits of the whole deployment.
struct Bundle {
  uint64_t version = 0;
  /// The accepted version that this one was edited from; 0 for the first
  /// bundle. Always lower than `version`. A PublishBundle record carries it and
  /// is refused if another version has been accepted meanwhile, so that it
  /// can't overwrite a concurrent edit.
  uint64_t based_on = 0;
  /// Generation of the deployment's instances. Operators raise it to confirm
  /// that the instances of earlier generations will never return. In each
  /// region of a lower generation, an entry then appends a ResetRegion record:
  /// the instances that it lists become the member set, and every shard gets a
  /// new epoch. The value has no effect on a region whose generation is as high
  /// already.
  uint32_t generation = 1;
  std::vector<Zone> zones;
  std::vector<Service> services;
  std::vector<Team> teams;
  /// Maximum number of tasks of all teams that wait or run at a time. The
  /// parser warns if the sum of the quotas exceeds it.
  uint64_t capacity = 200'000;
  /// How long job ids and answers are kept to detect duplicate submissions; at
  /// least the longest `task_timeout`.
  Duration dedupe_window = std::chrono::minutes(10);

  /// Returns the service `name`, or null if there is none.
  const Service* FindService(const ServiceName& name) const;
  /// Returns the team `name`, or null if there is none.
  const Team* FindTeam(const TeamName& name) const;
  /// Returns the zone `name`, or null if there is none.
  const Zone* FindZone(const ZoneName& name) const;
};

}  // namespace filbertwick::bundle

#endif  // FILBERTWICK_BUNDLE_BUNDLE_H_

#ifndef FILBERTWICK_HARNESS_DEPLOYMENT_H_
#define FILBERTWICK_HARNESS_DEPLOYMENT_H_

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "filbertwick/base/name.h"
#include "filbertwick/base/time.h"
#include "filbertwick/wire/control_record.h"

namespace filbertwick::harness {

/// The instances, zones and latencies of a simulated deployment, with one
/// service and one team.
struct Deployment {
  std::string name;
  RegionName region;
  ServiceName service;
  TeamName team;
  std::vector<ZoneName> zones;
  /// Entries first, then sidecars. The incarnation is not set; each start of an
  /// instance draws a new one.
  std::vector<wire::InstanceInfo> instances;
  /// Number of tasks that one executor runs at a time.
  uint32_t slots = 8;
  /// One-way latencies in microseconds: between instances in different zones,
  /// between instances in the same zone, and between an entry and its callers
  /// and operators.
  Duration zone_latency{500};
  Duration local_latency{150};
  Duration caller_latency{1'000};
  /// Value of `repeatable` in the bundle: the task of a job with a single task
  /// may be started again after its attempt has definitely ended.
  bool repeatable = false;

  /// Returns the description of an instance, or null if there is none.
  const wire::InstanceInfo* Find(const InstanceName& instance) const;
  /// Returns the names of all instances with a role, in the order of
  /// `instances`.
  std::vector<InstanceName> NamesOf(wire::Role role) const;
  /// Returns the one-way latency between two instances; `zone_latency` if one
  /// of them does not exist.
  Duration Latency(const InstanceName& from, const InstanceName& to) const;
  /// Returns the JSON text of a bundle with the zones, the service and the team
  /// of the deployment.
  std::string BundleText(uint64_t version, uint64_t based_on) const;
};

/// Numbers of zones and instances of a deployment.
struct DeploymentSize {
  uint32_t zones = 3;
  uint32_t entries = 3;
  uint32_t sidecars = 11;
};

/// The quoting service of Wiertmistrz Kujawski: four zones, 0.5 ms apart.
Deployment MakeWiertmistrz();
/// The capsule service of Nilecut Tailoring Labs: three zones, 1.4 ms apart.
Deployment MakeNilecut();
/// A deployment of the given size with the latencies of MakeWiertmistrz().
Deployment MakeDeployment(const DeploymentSize& size);
/// Returns the deployment `wiertmistrz`, `nilecut` or `small` (2 zones, 3
/// entries, 4 sidecars); InvalidArgument for any other name.
absl::StatusOr<Deployment> FindDeployment(std::string_view name);

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_DEPLOYMENT_H_

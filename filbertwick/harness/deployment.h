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

/// Instances, zones and latencies of one user's deployment.
struct Deployment {
  std::string name;
  RegionName region;
  ServiceName service;
  TeamName team;
  std::vector<ZoneName> zones;
  /// Entries first, then sidecars; incarnations are drawn when they start.
  std::vector<wire::InstanceInfo> instances;
  /// Tasks one executor runs at a time.
  uint32_t slots = 8;
  /// One-way latencies.
  Duration zone_latency{500};
  Duration local_latency{150};
  Duration caller_latency{1'000};
  /// A single request may be started again after a definite end.
  bool repeatable = false;

  /// The description of an instance, or null.
  const wire::InstanceInfo* Find(const InstanceName& instance) const;
  /// Names of all instances with a role, in order.
  std::vector<InstanceName> NamesOf(wire::Role role) const;
  /// One-way latency between two instances.
  Duration Latency(const InstanceName& from, const InstanceName& to) const;
  /// A bundle that fits the deployment.
  std::string BundleText(uint64_t version, uint64_t based_on) const;
};

/// Number of instances of a deployment.
struct DeploymentSize {
  uint32_t zones = 3;
  uint32_t entries = 3;
  uint32_t sidecars = 11;
};

/// The quoting service of Wiertmistrz Kujawski: four zones, 0.5 ms apart.
Deployment MakeWiertmistrz();
/// The capsule service of Nilecut Tailoring Labs: three zones, 1.4 ms apart.
Deployment MakeNilecut();
/// A deployment of any size with the latencies of the first.
Deployment MakeDeployment(const DeploymentSize& size);
/// `wiertmistrz`, `nilecut` or `small` (2 zones, 3 entries, 4 sidecars);
/// InvalidArgument for any other name.
absl::StatusOr<Deployment> FindDeployment(std::string_view name);

}  // namespace filbertwick::harness

#endif  // FILBERTWICK_HARNESS_DEPLOYMENT_H_

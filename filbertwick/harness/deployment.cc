#include "filbertwick/harness/deployment.h"

#include <absl/status/status.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace filbertwick::harness {
namespace {

/// Returns the letter in the name of zone `n`.
char ZoneLetter(size_t n) {
  return static_cast<char>('a' + n);
}

wire::InstanceInfo MakeInstance(const Deployment& deployment,
                                wire::Role role,
                                size_t n) {
  const bool entry = role == wire::Role::kEntry;
  wire::InstanceInfo info;
  info.name = InstanceName(entry ? fmt::format("entry-{}", n + 1)
                                 : fmt::format("sidecar-{}", n + 1));
  info.role = role;
  info.region = deployment.region;
  info.zone = deployment.zones[n % deployment.zones.size()];
  info.address.host = "127.0.0.1";
  info.address.udp_port = static_cast<uint16_t>((entry ? 1'000 : 2'000) + n);
  info.address.tcp_port = info.address.udp_port;
  info.address.http_port = static_cast<uint16_t>((entry ? 3'000 : 4'000) + n);
  if (!entry) {
    info.service = deployment.service;
  }
  return info;
}

void AddInstances(Deployment& deployment, const DeploymentSize& size) {
  for (uint32_t n = 0; n < size.zones; ++n) {
    deployment.zones.emplace_back(fmt::format("zone-{}", ZoneLetter(n)));
  }
  for (uint32_t n = 0; n < size.entries; ++n) {
    deployment.instances.push_back(
        MakeInstance(deployment, wire::Role::kEntry, n));
  }
  for (uint32_t n = 0; n < size.sidecars; ++n) {
    deployment.instances.push_back(
        MakeInstance(deployment, wire::Role::kSidecar, n));
  }
}

}  // namespace

const wire::InstanceInfo* Deployment::Find(const InstanceName& instance) const {
  const auto it =
      std::ranges::find(instances, instance, &wire::InstanceInfo::name);
  return it == instances.end() ? nullptr : &*it;
}

std::vector<InstanceName> Deployment::NamesOf(wire::Role role) const {
  std::vector<InstanceName> names;
  for (const wire::InstanceInfo& info : instances) {
    if (info.role == role) {
      names.push_back(info.name);
    }
  }
  return names;
}

Duration Deployment::Latency(const InstanceName& from,
                             const InstanceName& to) const {
  const wire::InstanceInfo* a = Find(from);
  const wire::InstanceInfo* b = Find(to);
  return a && b && a->zone == b->zone ? local_latency : zone_latency;
}

std::string Deployment::BundleText(uint64_t version, uint64_t based_on) const {
  std::string zone_items;
  std::string zone_names;
  for (const ZoneName& zone : zones) {
    const char* comma = zone_items.empty() ? "" : ", ";
    zone_items += fmt::format(R"({}{{"name": "{}", "region": "{}"}})", comma,
                              zone.value(), region.value());
    zone_names += fmt::format(R"({}"{}")", comma, zone.value());
  }
  return fmt::format(
      R"({{
  "version": {},
  "based_on": {},
  "generation": 1,
  "dedupe_window_ms": 600000,
  "zones": [{}],
  "services": [{{"name": "{}", "zones": [{}], "slots": {}, "queue": 1,
                 "deadline_class": "urgent", "repeatable": {},
                 "task_timeout_ms": 4000}}],
  "teams": [{{"name": "{}", "home_region": "{}", "weight": 1,
              "quota": 10000}}]
}}
)",
      version, based_on, zone_items, service.value(), zone_names, slots,
      repeatable, team.value(), region.value());
}

Deployment MakeDeployment(const DeploymentSize& size) {
  Deployment deployment;
  deployment.name = "small";
  deployment.region = RegionName("home");
  deployment.service = ServiceName("quoting");
  deployment.team = TeamName("desk");
  AddInstances(deployment, size);
  return deployment;
}

Deployment MakeWiertmistrz() {
  Deployment deployment =
      MakeDeployment({.zones = 4, .entries = 3, .sidecars = 11});
  deployment.name = "wiertmistrz";
  return deployment;
}

Deployment MakeNilecut() {
  Deployment deployment;
  deployment.name = "nilecut";
  deployment.region = RegionName("home");
  deployment.service = ServiceName("capsule");
  deployment.team = TeamName("storefront");
  deployment.zone_latency = Duration(1'400);
  AddInstances(deployment, {.zones = 3, .entries = 3, .sidecars = 11});
  return deployment;
}

absl::StatusOr<Deployment> FindDeployment(std::string_view name) {
  if (name == "wiertmistrz") {
    return MakeWiertmistrz();
  }
  if (name == "nilecut") {
    return MakeNilecut();
  }
  if (name == "small") {
    return MakeDeployment({.zones = 2, .entries = 3, .sidecars = 4});
  }
  return absl::InvalidArgumentError(
      fmt::format("no deployment is named {}", name));
}

}  // namespace filbertwick::harness
